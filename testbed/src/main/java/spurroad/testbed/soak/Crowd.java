package spurroad.testbed.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Clients that together hold more connections than a proxy has descriptors, and cost it memory or want
 * nothing. Used by one thread.
 */
final class Crowd {
    /** Clients beyond the proxy's limit on descriptors. */
    private static final int SURPLUS_CLIENTS = 100;
    private static final long CONNECT_MS = 300; // in which all of them connect
    private static final long TURN_MS = 2;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Crowds of faults with a detail below this cost descriptors only. */
    private static final double DESCRIPTORS_ONLY_BELOW = 0.34;

    private final List<CrowdClient> clients = new ArrayList<>();

    /**
     * Creates a crowd that is not connected.
     *
     * @param behaviors each client has one of these
     * @param seed determines which
     */
    Crowd(int port, int count, List<CrowdBehavior> behaviors, long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < count; i++) {
            clients.add(new CrowdClient(port, i, behaviors.get(random.nextInt(behaviors.size()))));
        }
    }

    /** Connects a crowd on a thread of its own, and closes its connections at the end of the fault. */
    static void connect(int port, int descriptors, Fault fault) {
        boolean costsMemory = fault.detail() >= DESCRIPTORS_ONLY_BELOW;
        List<CrowdBehavior> behaviors = costsMemory ? CrowdBehavior.COSTING_MEMORY
            : CrowdBehavior.COSTING_DESCRIPTORS;
        Crowd crowd = new Crowd(port, descriptors + SURPLUS_CLIENTS, behaviors,
            (long) (fault.detail() * Long.MAX_VALUE));
        TestThreads.start("crowd", () -> crowd.play(fault.durationMs()));
    }

    /** Connects, stays for a time, and leaves; returns how often the clients connected. */
    int play(long durationMs) throws InterruptedException {
        long startNanos = System.nanoTime();
        long elapsedMs = 0;
        try {
            while (elapsedMs < durationMs) {
                takeTurns((int) (clients.size() * Math.min(elapsedMs, CONNECT_MS) / CONNECT_MS));
                Thread.sleep(TURN_MS);
                elapsedMs = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
            }
        } finally {
            clients.forEach(CrowdClient::close);
        }
        return clients.stream().mapToInt(CrowdClient::connections).sum();
    }

    private void takeTurns(int count) {
        long now = System.nanoTime();
        clients.subList(0, count).forEach(client -> client.takeTurn(now));
    }
}
