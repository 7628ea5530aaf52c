import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Case: clients send sixteen reads at once each and read the answers slowly; the values have 64 KiB, together
 * far over the memory limit.
 */
final class HeapBurst {
    private static final int NODES = 16;
    private static final int VALUE_BYTES = 64 * 1024;
    private static final int CLIENTS = 300;
    private static final int COMMANDS = 16;
    private static final int BURSTS = 10;
    private static final int BURST_SECONDS = 8;

    private HeapBurst() {}

    public static void main(String[] args) throws IOException {
        Rig.main(args[0], HeapBurst::run);
    }

    private static void run(Rig rig) throws Exception {
        byte[] value = new byte[VALUE_BYTES];
        Arrays.fill(value, (byte) 'x');
        Rig.Counter counter = new Rig.Counter();
        List<Rig.Entry> entries = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            Rig.Node node = new Rig.Node("cache-" + i, (socket, line, written, out) -> {
                byte[] head = ("VA " + VALUE_BYTES + " O" + Rig.id(line) + "\r\n").getBytes();
                byte[] message = Arrays.copyOf(head, head.length + VALUE_BYTES + 2);
                System.arraycopy(value, 0, message, head.length, VALUE_BYTES);
                System.arraycopy(Rig.END, 0, message, message.length - 2, 2);
                out.write(message);
                counter.add("reads at cache nodes");
            });
            entries.add(new Rig.Entry(node.uid, node.port(), "standard", "active", 0));
        }
        Rig.Origin origin = new Rig.Origin(call -> call.ok("ok"));
        entries.add(new Rig.Entry("origin", origin.port(), "origin", "active", 0));
        Rig.Discovery discovery = new Rig.Discovery(entries);
        Rig.Proxy proxy = rig.new Proxy("n1", rig.runCommand());
        proxy.configure(Rig.settings("on_request", 2_000_000, Rig.TRACKS), discovery.whole(), discovery.port(),
            Rig.LIMITS);
        proxy.start(Map.of());
        proxy.awaitReady();
        calmReads(rig, proxy);
        for (int burst = 0; burst < BURSTS; burst++) {
            rig.note(CLIENTS + " clients with " + COMMANDS + " reads each" + (rig.trouble
                ? ", all sent at once, the answers read slowly" : ", one after another, the answers read at once"));
            Process clients = new ProcessBuilder("perl", "review/rig2/readers.pl", Integer.toString(proxy.port),
                Integer.toString(CLIENTS), Integer.toString(COMMANDS), rig.trouble ? "1" : "0",
                Integer.toString(BURST_SECONDS)).redirectErrorStream(true).start();
            rig.watch(clients);
            BufferedReader lines = clients.inputReader();
            Thread reader = Rig.thread(() -> {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    rig.note("clients: " + line);
                }
            });
            long peakKb = 0;
            while (clients.isAlive() && proxy.process.isAlive()) {
                peakKb = Math.max(peakKb, proxy.residentKb());
                Rig.sleep(50);
            }
            rig.note("at most " + peakKb / 1024 + " MiB of 192 resident; " + counter);
            if (!proxy.process.isAlive()) {
                clients.destroy();
                rig.note("the proxy has ended with code " + proxy.process.exitValue() + "; its last lines:\n"
                    + proxy.tail());
                rig.exit(1, "the proxy crashed in burst " + (burst + 1) + ", code " + proxy.process.exitValue());
            }
            reader.join(2_000);
            if (clients.exitValue() != 0) {
                rig.exit(2, "the clients ended with " + clients.exitValue());
            }
        }
        rig.exit(0, "the proxy is alive after " + BURSTS + " bursts");
    }

    /** Some traffic before, as there is in any deployment. */
    private static void calmReads(Rig rig, Rig.Proxy proxy) throws Exception {
        Rig.Counter answers = new Rig.Counter();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            int number = i;
            clients.add(Rig.thread(() -> {
                try (Rig.Client client = new Rig.Client(proxy.port)) {
                    for (int k = 0; k < 300; k++) {
                        client.send("mg calm-" + k + " v Oc" + number + "x" + k + " Pc=room-read,d=2400\r\n");
                        answers.add(client.answer().line().split(" ")[0]);
                        Rig.sleep(10);
                    }
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        rig.note("calm reads before: " + answers);
    }
}
