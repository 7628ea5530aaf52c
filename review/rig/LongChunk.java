import java.io.IOException;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** The origin gives values of 4 MiB as HTTP/1.1 allows, in a chunk each; the proxy must answer, and go on running. */
final class LongChunk {
    private static final int LONG_VALUE_BYTES = 4 * 1024 * 1024;
    private static final int PIECE_BYTES = 256 * 1024;
    private static final int CLIENTS = 10;
    private static final int SHORT_READS = 5;
    private static final int LONG_READS = 10;
    private static final int TIMEOUT_MILLIS = 2400;
    private static final int TOLERATED_MILLIS = 550;

    private static final class ChunkingOrigin extends Rig.Origin {
        private final byte[] longValue = new byte[LONG_VALUE_BYTES];

        ChunkingOrigin() throws IOException {
            super(50);
            new Random(1).nextBytes(longValue);
        }

        @Override
        byte[] answer(Rig.Arrived message) {
            return message.key().startsWith("10") ? longValue : Rig.bytes("a short value");
        }

        @Override
        void respond(byte[] answer, OutputStream out) throws IOException {
            if (!Rig.TROUBLE) {
                super.respond(answer, out);
                return;
            }
            String chunkSize = Integer.toHexString(answer.length);
            out.write(Rig.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkSize + "\r\n"));
            for (int from = 0; from < answer.length; from += PIECE_BYTES) {
                out.write(answer, from, Math.min(PIECE_BYTES, answer.length - from));
                Rig.sleep(5);
            }
            out.write(Rig.bytes("\r\n0\r\n\r\n"));
        }
    }

    public static void main(String[] args) {
        Rig.main(args, LongChunk::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.CacheNode[] nodes = {new Rig.CacheNode("cache-1"), new Rig.CacheNode("cache-2")};
        ChunkingOrigin origin = new ChunkingOrigin();
        List<Rig.Target> targets = List.of(new Rig.Target("cache-1", nodes[0].server.port, "standard", "active"),
            new Rig.Target("cache-2", nodes[1].server.port, "standard", "active"),
            new Rig.Target("origin", origin.server.port, "origin", "active"));
        Rig.Discovery discovery = new Rig.Discovery(targets);
        Rig.Proxy proxy = rig.new Proxy();
        proxy.writeConfig(discovery.server.port, targets, Rig.settings("[\"standard\",\"origin\"]", 1, Rig.TRACKS));
        proxy.start(discovery.server.port);
        Rig.sleep(1000);
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        Thread[] clients = new Thread[CLIENTS];
        for (int c = 0; c < CLIENTS; c++) {
            int number = c;
            clients[c] = Rig.thread("client", () -> {
                for (int i = 0; i < SHORT_READS + LONG_READS && proxy.isAlive(); i++) {
                    String key = String.format("%s%02x%02x", i < SHORT_READS ? "5a" : "10", number, i);
                    read(rig, proxy, origin, key, unanswered, wrong);
                    Rig.sleep(50);
                }
            });
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        boolean ended = proxy.endsWithin(500);
        rig.note("the origin was asked for " + origin.arrived.size() + " values");
        proxy.noteLog(5);
        rig.note(ended ? "the proxy has ended by itself with exit code " + proxy.exitCode() : "the proxy still runs");
        rig.note("requests with no answer in their time: " + unanswered + ", with another value: " + wrong);
        return ended || unanswered.get() > 0 || wrong.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static void read(Rig rig, Rig.Proxy proxy, ChunkingOrigin origin, String key, AtomicInteger unanswered,
                             AtomicInteger wrong) {
        boolean sent = false;
        try (Rig.Client client = new Rig.Client(proxy.port)) {
            client.send(Rig.bytes("mg " + key + " v Or" + key + " Pc=read,d=" + TIMEOUT_MILLIS + "\r\n"));
            sent = true;
            Rig.Answer answer = client.receive(TIMEOUT_MILLIS + TOLERATED_MILLIS);
            rig.note("read r" + key + ": " + answer.line());
            byte[] expected = origin.answer(new Rig.Arrived("GET", key, "", "", null));
            wrong.addAndGet(answer.isServed() && !Arrays.equals(answer.value(), expected) ? 1 : 0);
        } catch (IOException e) {
            rig.note("read r" + key + (sent ? ": no answer: " : ": not sent: ") + e);
            unanswered.addAndGet(sent ? 1 : 0);
        }
    }
}
