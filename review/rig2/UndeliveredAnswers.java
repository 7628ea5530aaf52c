import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case: a client sends sixteen commands at once and reads the answers a little later. The proxy resets the
 * connection as idle while answers are still in its send buffer.
 */
final class UndeliveredAnswers {
    private static final int OTHER_CLIENTS = 200;
    private static final int ROUNDS = 4;
    private static final int READS = 15; // before one write
    private static final int VALUE_BYTES = 15_000;
    private static final int PAUSE_MILLIS = 700;

    private UndeliveredAnswers() {}

    public static void main(String[] args) throws IOException {
        Rig.main(args[0], UndeliveredAnswers::run);
    }

    private static void run(Rig rig) throws Exception {
        Rig.Counter others = new Rig.Counter();
        Set<String> ran = ConcurrentHashMap.newKeySet();
        List<Rig.Entry> entries = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Rig.Node node = new Rig.Node("cache-" + i, (socket, line, value, out) -> {
                String id = Rig.id(line);
                byte[] head = ("VA " + (id.startsWith("v") ? VALUE_BYTES : 10) + " O" + id + "\r\n").getBytes();
                byte[] message = Arrays.copyOf(head, head.length + (id.startsWith("v") ? VALUE_BYTES : 10) + 2);
                Arrays.fill(message, head.length, message.length - 2, (byte) 'x');
                System.arraycopy(Rig.END, 0, message, message.length - 2, 2);
                out.write(message);
            });
            entries.add(new Rig.Entry(node.uid, node.port(), "standard", "active", 0));
        }
        Rig.Origin origin = new Rig.Origin(call -> {
            Rig.sleep(30);
            ran.add(call.id());
            call.ok("r" + call.id());
        });
        entries.add(new Rig.Entry("origin", origin.port(), "origin", "active", 0));
        Rig.Discovery discovery = new Rig.Discovery(entries);
        Rig.Proxy proxy = rig.new Proxy("n1", rig.runCommand());
        proxy.configure(Rig.settings("on_request", 2_000_000, Rig.TRACKS), discovery.whole(), discovery.port(),
            Rig.LIMITS);
        proxy.start(Map.of());
        proxy.awaitReady();
        for (int i = 0; i < OTHER_CLIENTS; i++) {
            int number = i;
            Rig.thread(() -> readNowAndThen(proxy, number, others));
            Rig.sleep(5);
        }
        Rig.sleep(2_000);
        int lost = 0;
        for (int round = 0; round < ROUNDS; round++) {
            lost += sixteenAtOnce(rig, proxy, round, ran);
        }
        rig.note("answers of the other clients: " + others);
        rig.exit(lost > 0 ? 1 : 0, lost + " of " + ROUNDS * (READS + 1)
            + " requests got no whole answer: the proxy reset their connection");
    }

    /** An ordinary client: a read, its answer, a pause, on a connection that it keeps. */
    private static void readNowAndThen(Rig.Proxy proxy, int number, Rig.Counter counter) {
        Rig.Client client = null;
        for (int i = 0;; i++) {
            try {
                client = client == null ? new Rig.Client(proxy.port) : client;
                client.send("mg k" + i % 500 + " v Ob" + number + "x" + i + " Pc=room-read,d=2000\r\n");
                String line = client.answer().line();
                counter.add(line.split(" ")[0]);
                if (line.startsWith("LOST") || line.startsWith("END")) {
                    client = null;
                }
            } catch (IOException e) {
                client = null;
            }
            Rig.sleep(180);
        }
    }

    /** Returns how many of the requests were sent whole and got no whole answer. */
    private static int sixteenAtOnce(Rig rig, Rig.Proxy proxy, int round, Set<String> ran) throws IOException {
        List<String> ids = new ArrayList<>();
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < READS; i++) {
            ids.add("v" + round + "x" + i);
            commands.append("mg key-" + i + " v O" + ids.get(i) + " Pc=room-read,d=2000\r\n");
        }
        String write = "w" + round;
        ids.add(write);
        commands.append("ms key-w 2 O" + write + " Pc=lease-sign,d=2000\r\nok\r\n");
        try (Rig.Client client = new Rig.Client(proxy.port)) {
            client.send(commands.toString());
            rig.note("client sent " + ids.size() + " commands at once, the last one a write");
            if (rig.trouble) {
                Rig.sleep(PAUSE_MILLIS);
            }
            for (int i = 0; i < ids.size(); i++) {
                Rig.Answer answer = client.answer();
                if (!answer.isWhole()) {
                    rig.note("answer " + (i + 1) + " of " + ids.size() + ": " + answer.line() + "; the write "
                        + (ran.contains(write) ? "RAN at the origin" : "did not run"));
                    return ids.size() - i;
                }
            }
            rig.note("all " + ids.size() + " answered");
            return 0;
        }
    }
}
