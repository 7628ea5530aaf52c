import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * A hundred clients write values of 100 KiB slowly, without a pause; the writes that other clients have sent whole have to
 * get their answers in their time.
 */
final class SlowUpload {
    private static final int SLOW_CLIENTS = 100;
    private static final int PIECES = 40;
    private static final long PIECE_PAUSE_MILLIS = 200; // 8 s for the whole value
    private static final int VALUE_BYTES = 100 * 1024;
    private static final int WRITES = 6;
    private static final int TIMEOUT_MILLIS = 2000;
    private static final int TOLERATED_MILLIS = 500; // "Up to half a second after its time it only earns nothing"

    public static void main(String[] args) {
        Rig.main(args, SlowUpload::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.CacheNode node = new Rig.CacheNode("cache-1");
        Rig.Origin origin = new Rig.Origin(50);
        List<Rig.Target> targets = List.of(new Rig.Target("cache-1", node.server.port, "standard", "active"),
            new Rig.Target("origin", origin.server.port, "origin", "active"));
        Rig.Discovery discovery = new Rig.Discovery(targets);
        Rig.Proxy proxy = rig.new Proxy();
        proxy.writeConfig(discovery.server.port, targets, Rig.settings("[\"standard\",\"origin\"]", 1, Rig.TRACKS));
        proxy.start(discovery.server.port);
        Rig.sleep(1000);
        Thread[] slow = new Thread[SLOW_CLIENTS];
        for (int i = 0; i < slow.length; i++) {
            slow[i] = slowWriter(rig, proxy, "s" + i, VALUE_BYTES);
        }
        Rig.sleep(500);
        int lost = 0;
        Thread[] writers = new Thread[WRITES];
        long[] answeredAfter = new long[WRITES];
        for (int i = 0; i < WRITES; i++) {
            int number = i;
            writers[i] = Rig.thread("writer", () -> answeredAfter[number] = write(rig, proxy, "w" + number));
        }
        for (int i = 0; i < WRITES; i++) {
            writers[i].join();
            lost += answeredAfter[i] > TIMEOUT_MILLIS + TOLERATED_MILLIS ? 1 : 0;
        }
        for (Thread writer : slow) {
            writer.join();
        }
        rig.note("run by the origin: " + String.join(" ", origin.arrived.stream().map(Rig.Arrived::id).toList()));
        proxy.noteLog(6);
        rig.note("answered later than " + (TIMEOUT_MILLIS + TOLERATED_MILLIS) + " ms after the last byte, or never: " + lost
            + " of " + WRITES);
        return lost > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static byte[] value(int length) {
        byte[] value = new byte[length];
        new Random(length).nextBytes(value);
        return value;
    }

    private static Thread slowWriter(Rig rig, Rig.Proxy proxy, String id, int bytes) {
        return Rig.thread("slow writer", () -> {
            byte[] value = value(bytes);
            try (Rig.Client client = new Rig.Client(proxy.port)) {
                client.send(Rig.bytes("ms 5105" + id + " " + value.length + " O" + id + " Pc=put,d=" + TIMEOUT_MILLIS
                    + ",k=k" + id + "\r\n"));
                rig.note(id + " begins to write " + value.length + " bytes");
                int length = (value.length + PIECES - 1) / PIECES;
                for (int from = 0; from < value.length; from += length) {
                    client.send(Arrays.copyOfRange(value, from, Math.min(value.length, from + length)));
                    Rig.sleep(Rig.TROUBLE ? PIECE_PAUSE_MILLIS : 0);
                }
                client.send(Rig.bytes("\r\n"));
                rig.note(id + " has written all");
                rig.note(id + " answer: " + client.receive(TIMEOUT_MILLIS + 2000).line());
            } catch (IOException e) {
                rig.note(id + " got no answer: " + e);
            }
        });
    }

    /** Writes a value at once; returns after how many milliseconds the answer came. */
    private static long write(Rig rig, Rig.Proxy proxy, String id) {
        byte[] value = value(VALUE_BYTES);
        long sentAt = 0;
        try (Rig.Client client = new Rig.Client(proxy.port)) {
            client.send(Rig.bytes("ms 7f3a" + id + " " + value.length + " O" + id + " Pc=put,d=" + TIMEOUT_MILLIS + ",k=k" + id
                + "\r\n"));
            client.send(value);
            client.send(Rig.bytes("\r\n"));
            sentAt = System.nanoTime();
            rig.note(id + " has written its whole request of " + value.length + " bytes");
            Rig.Answer answer = client.receive(20_000);
            long millis = (System.nanoTime() - sentAt) / 1_000_000;
            rig.note(id + " answer after " + millis + " ms: " + answer.line());
            return millis;
        } catch (IOException e) {
            rig.note(id + " got no answer, after " + (System.nanoTime() - sentAt) / 1_000_000 + " ms: " + e);
            return Long.MAX_VALUE;
        }
    }
}
