package spurroad.testbed.soak;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Clients that together hold more connections than a proxy has descriptors, and want nothing. */
final class Crowd {
    /** Well above the proxies' limit on descriptors. */
    private static final int CLIENTS = SoakSettings.MAX_DESCRIPTORS + 100;
    private static final long CONNECT_MS = 1_000; // in which all of them connect
    private static final String HALF_REQUEST = "mg k v Ocrowd Pc=read,t=ac";

    private Crowd() {}

    /** Connects the crowd on a thread of its own, and closes its connections at the end of the fault. */
    static void connect(int port, Fault fault) {
        TestThreads.start("crowd", () -> {
            List<Socket> clients = new ArrayList<>();
            Random random = new Random((long) (fault.detail() * Long.MAX_VALUE));
            long startNanos = System.nanoTime();
            try {
                for (int i = 0; i < CLIENTS; i++) {
                    addClient(port, random, clients);
                    long dueMs = i * CONNECT_MS / CLIENTS;
                    Thread.sleep(Math.max(0, dueMs - (System.nanoTime() - startNanos) / 1_000_000));
                }
                Thread.sleep(Math.max(0, fault.durationMs() - CONNECT_MS));
            } finally {
                clients.forEach(Sockets::close);
            }
        });
    }

    /** One third stays silent, one sends half a request, one leaves at once. */
    private static void addClient(int port, Random random, List<Socket> clients) {
        try {
            Socket client = Sockets.connect(port);
            clients.add(client);
            switch (random.nextInt(3)) {
                case 0 -> Sockets.write(client.getOutputStream(), HALF_REQUEST);
                case 1 -> Sockets.close(client);
                default -> {
                    // silent
                }
            }
        } catch (IOException e) {
            // refused, or reset by the proxy for want of descriptors
        }
    }
}
