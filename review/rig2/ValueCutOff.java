import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: a cache node hangs for three seconds in the middle of a long value, then gives the rest. */
final class ValueCutOff {
    private static final int ROUNDS = 4;
    private static final int VALUE_BYTES = 1 << 20;
    private static final int HANG_MILLIS = 3_000;

    private ValueCutOff() {}

    public static void main(String[] args) throws IOException {
        Rig.main(args[0], ValueCutOff::run);
    }

    private static void run(Rig rig) throws Exception {
        AtomicInteger cut = new AtomicInteger();
        byte[] big = new byte[VALUE_BYTES];
        Arrays.fill(big, (byte) 'x');
        Rig.Node node = new Rig.Node("cache-1", (socket, line, value, out) -> {
            String id = Rig.id(line);
            out.write(("VA " + VALUE_BYTES + " O" + id + "\r\n").getBytes());
            out.write(big, 0, VALUE_BYTES / 4);
            if (rig.trouble) {
                rig.note("cache node: hangs in the middle of " + id);
                Rig.sleep(HANG_MILLIS);
                rig.note("cache node: goes on with " + id);
            }
            try {
                for (int from = VALUE_BYTES / 4; from < VALUE_BYTES; from += VALUE_BYTES / 4) {
                    out.write(big, from, VALUE_BYTES / 4);
                    Rig.sleep(10);
                }
                out.write(Rig.END);
                rig.note("cache node: gave all of " + id);
            } catch (IOException e) {
                cut.incrementAndGet();
                rig.note("cache node: the proxy has closed the connection of " + id);
                throw e;
            }
        });
        Rig.Origin origin = new Rig.Origin(call -> call.ok("ok"));
        List<Rig.Entry> entries = List.of(new Rig.Entry("cache-1", node.port(), "standard", "active", 0),
            new Rig.Entry("origin", origin.port(), "origin", "active", 0));
        Rig.Discovery discovery = new Rig.Discovery(entries);
        Rig.Proxy proxy = rig.new Proxy("n1", rig.runCommand());
        proxy.configure(Rig.settings("on_request", 2_000_000, Rig.TRACKS), discovery.whole(), discovery.port(),
            Rig.LIMITS);
        proxy.start(Map.of());
        proxy.awaitReady();
        int lost = 0;
        for (int round = 0; round < ROUNDS; round++) {
            try (Rig.Client client = new Rig.Client(proxy.port)) {
                client.send("mg key-a v Oa" + round + " Pc=room-read,d=2400\r\n");
                rig.note("client sent mg a" + round);
                Rig.Answer answer = client.answer();
                rig.note("client has for a" + round + ": " + answer.line());
                lost += answer.isWhole() ? 0 : 1;
            }
            Rig.sleep(1_500);
        }
        rig.exit(lost > 0 ? 1 : 0, lost + " of " + ROUNDS + " values were cut off, " + cut
            + " while the cache node still gave them");
    }
}
