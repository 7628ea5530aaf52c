import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients write values of 64 KiB slowly while others send whole requests, one at a time on each connection. The proxy
 * must neither end nor leave a request without its answer.
 */
final class SlowWriters {
    private static final int VALUE_BYTES = 64 * 1024;
    private static final int SLOW_CLIENTS = 560;
    private static final int OTHER_CLIENTS = 80;
    private static final int COMMANDS_AT_ONCE = 4;
    private static final long PAUSE_MILLIS = 300; // of the other clients, between their turns
    private static final int PIECES = 80;
    private static final long PIECE_PAUSE_MILLIS = 100; // 8 s for the whole value
    private static final long DURATION_MILLIS = 14_000;
    private static final int TIMEOUT_MILLIS = 2000;
    private static final int TOLERATED_MILLIS = 500;

    public static void main(String[] args) {
        Rig.main(args, SlowWriters::run);
    }

    /** Writes a command with a value in pieces. */
    private static void write(Rig.Client client, String id, byte[] value, long pauseMillis) throws IOException {
        client.send(Rig.bytes("ms 7f3a" + id + " " + value.length + " O" + id + " Pc=put,d=" + TIMEOUT_MILLIS + ",k=k" + id
            + "\r\n"));
        int length = value.length / PIECES + 1;
        for (int from = 0; from < value.length; from += length) {
            client.send(Arrays.copyOfRange(value, from, Math.min(value.length, from + length)));
            Rig.sleep(pauseMillis);
        }
        client.send(Rig.bytes("\r\n"));
    }

    private static int run(Rig rig) throws Exception {
        Rig.CacheNode[] nodes = {new Rig.CacheNode("cache-1"), new Rig.CacheNode("cache-2"), new Rig.CacheNode("cache-3")};
        Rig.Origin origin = new Rig.Origin(300);
        List<Rig.Target> targets = List.of(new Rig.Target("cache-1", nodes[0].server.port, "standard", "active"),
            new Rig.Target("cache-2", nodes[1].server.port, "standard", "active"),
            new Rig.Target("cache-3", nodes[2].server.port, "standard", "active"),
            new Rig.Target("origin", origin.server.port, "origin", "active"));
        Rig.Discovery discovery = new Rig.Discovery(targets);
        Rig.Proxy proxy = rig.new Proxy();
        proxy.writeConfig(discovery.server.port, targets, Rig.settings("[\"standard\",\"origin\"]", 1, Rig.TRACKS));
        proxy.start(discovery.server.port);
        Rig.sleep(1000);
        byte[] value = new byte[VALUE_BYTES];
        new Random(1).nextBytes(value);
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicBoolean ended = new AtomicBoolean();
        Thread[] threads = new Thread[SLOW_CLIENTS + OTHER_CLIENTS];
        for (int i = 0; i < threads.length; i++) {
            int number = i;
            threads[i] = Rig.thread("client", () -> {
                boolean slow = number < SLOW_CLIENTS;
                Rig.sleep(slow ? 4 * number : 500);
                for (int n = 0; !ended.get() && (n == 0 || !slow); n++) {
                    int commands = slow ? 1 : COMMANDS_AT_ONCE;
                    int whole = 0;
                    int answered = 0;
                    try (Rig.Client client = new Rig.Client(proxy.port)) {
                        for (; whole < commands; whole++) {
                            write(client, "c" + number + "n" + n + "i" + whole, value, slow && Rig.TROUBLE ? PIECE_PAUSE_MILLIS : 0);
                            sent.incrementAndGet();
                        }
                        for (; answered < commands; answered++) {
                            Rig.Answer answer = client.receive(TIMEOUT_MILLIS + TOLERATED_MILLIS);
                            (answer.isServed() ? served : refused).incrementAndGet();
                        }
                    } catch (IOException e) {
                        if (answered < whole) {
                            unanswered.addAndGet(whole - answered);
                            rig.note("client " + number + ": " + (whole - answered) + " whole requests got no answer: " + e);
                        }
                        Rig.sleep(200);
                    }
                    Rig.sleep(PAUSE_MILLIS);
                }
            });
        }
        long until = System.nanoTime() + DURATION_MILLIS * 1_000_000;
        while (System.nanoTime() < until && proxy.isAlive()) {
            Rig.sleep(100);
        }
        boolean alive = proxy.isAlive();
        rig.note(alive ? "the proxy still runs" : "the proxy has ended by itself with exit code " + proxy.exitCode());
        ended.set(true);
        for (Thread thread : threads) {
            thread.join(TIMEOUT_MILLIS + 1500);
        }
        rig.note("whole requests sent " + sent + ", served " + served + ", refused or failed " + refused + ", no answer " + unanswered);
        proxy.noteLog(6);
        return alive && unanswered.get() == 0 ? Rig.HELD : Rig.BROKEN;
    }
}
