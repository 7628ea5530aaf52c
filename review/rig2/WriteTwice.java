import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Case: a deduplicated write of a long value is sent again within its window, and its last byte comes after
 * the window, when the origin no longer remembers the first.
 */
final class WriteTwice {
    private static final int WRITES = 3;
    private static final int VALUE_BYTES = 1_000_000;
    private static final long WINDOW_MILLIS = 2_500;
    private static final long SLACK_MILLIS = 50;
    private static final int SLOW_MILLIS = 3_000; // in which the origin takes in one value while it is slow
    private static final int PIECES = 60;

    /** What the origin knows of one idempotency key. */
    private static final class Key {
        long firstSentMillis;
        long rememberedUntilMillis;
        int attempts;
        int applied;
        int late;
    }

    private final Rig rig;
    private final Map<String, Key> keys = new HashMap<>();

    private WriteTwice(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) throws IOException {
        Rig.main(args[0], rig -> new WriteTwice(rig).run());
    }

    private void run() throws Exception {
        Rig.Node node = new Rig.Node("cache-1",
            (socket, line, value, out) -> out.write(("VA 2 O" + Rig.id(line) + "\r\nok\r\n").getBytes()));
        ServerSocket origin = Rig.listen();
        origin.setReceiveBufferSize(32 * 1024); // what the origin has not taken in is not in its buffers either
        Rig.thread(() -> {
            while (true) {
                Socket socket = origin.accept();
                Rig.thread(() -> serve(socket));
            }
        });
        List<Rig.Entry> entries = List.of(new Rig.Entry("cache-1", node.port(), "standard", "active", 0),
            new Rig.Entry("origin", origin.getLocalPort(), "origin", "active", 0));
        Rig.Discovery discovery = new Rig.Discovery(entries);
        Rig.Proxy proxy = rig.new Proxy("n1", rig.runCommand());
        proxy.configure(Rig.settings("on_request", 2_000_000, Rig.TRACKS), discovery.whole(), discovery.port(),
            Rig.LIMITS);
        proxy.start(Map.of());
        proxy.awaitReady();
        calmReads(proxy);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < WRITES; i++) {
            String key = "k" + i;
            clients.add(Rig.thread(() -> write(proxy, key)));
            Rig.sleep(500);
        }
        for (Thread client : clients) {
            client.join();
        }
        Rig.sleep(SLOW_MILLIS + 2_000);
        verdict();
    }

    /** Some traffic before, as there is in any deployment. */
    private static void calmReads(Rig.Proxy proxy) throws IOException {
        try (Rig.Client client = new Rig.Client(proxy.port)) {
            for (int i = 0; i < 100; i++) {
                client.send("mg r" + i + " v Or" + i + " Pc=room-read,d=2000\r\n");
                client.answer();
                Rig.sleep(5);
            }
        }
    }

    private void write(Rig.Proxy proxy, String key) throws IOException {
        try (Rig.Client client = new Rig.Client(proxy.port)) {
            rig.note("client sends ms unit-" + key + " of " + VALUE_BYTES + " bytes, c=rent-post d=2400 k=" + key);
            client.send("ms unit-" + key + " " + VALUE_BYTES + " O" + key + " Pc=rent-post,d=2400,k=" + key
                + "\r\n");
            client.out.write(new byte[VALUE_BYTES]);
            client.out.write(Rig.END);
            rig.note("client has for k=" + key + ": " + client.answer().line());
        }
    }

    // ---- the origin

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 512);
            for (String line = Rig.readLine(in); line != null; line = Rig.readLine(in)) {
                long beganMillis = System.nanoTime() / 1_000_000;
                int length = 0;
                String extras = "";
                for (String header = Rig.readLine(in); header != null && !header.isEmpty();
                    header = Rig.readLine(in)) {
                    String value = header.substring(header.indexOf(':') + 1).strip();
                    length = header.toLowerCase().startsWith("content-length:") ? Integer.parseInt(value) : length;
                    extras = header.toLowerCase().startsWith("x-extras:") ? value : extras;
                }
                if (!line.startsWith("PUT")) {
                    socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes());
                    continue;
                }
                String name = Rig.option("P" + extras, "k");
                int attempt = begin(name, beganMillis);
                if (!takeIn(in, length, attempt > 1 && rig.trouble)) {
                    rig.note("origin: attempt " + attempt + " of k=" + name + " broke off");
                    return;
                }
                runWrite(name, attempt);
                // the first attempt ran and is answered 500: it may have run
                socket.getOutputStream().write((attempt == 1 ? "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
                    : "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nr" + name).getBytes());
            }
        }
    }

    private synchronized int begin(String name, long nowMillis) {
        Key key = keys.computeIfAbsent(name, n -> new Key());
        key.firstSentMillis = key.attempts == 0 ? nowMillis : key.firstSentMillis;
        key.attempts++;
        rig.note("origin: attempt " + key.attempts + " of k=" + name + " begins");
        return key.attempts;
    }

    /** Takes the value in; slowly, in even pieces, while the origin is slow. */
    private static boolean takeIn(InputStream in, int length, boolean slowly) throws IOException {
        int left = length;
        while (left > 0) {
            int piece = slowly ? Math.min(left, length / PIECES + 1) : left;
            if (in.readNBytes(piece).length < piece) {
                return false;
            }
            left -= piece;
            if (slowly) {
                Rig.sleep(SLOW_MILLIS / PIECES);
            }
        }
        return true;
    }

    /** Runs a write when its last byte has come; drops a repeat as long as the window lasts. */
    private synchronized void runWrite(String name, int attempt) {
        long now = System.nanoTime() / 1_000_000;
        Key key = keys.get(name);
        boolean repeat = key.applied > 0 && now < key.rememberedUntilMillis;
        if (!repeat) {
            key.applied++;
            key.rememberedUntilMillis = now + WINDOW_MILLIS + SLACK_MILLIS;
        }
        long age = now - key.firstSentMillis;
        key.late += age > WINDOW_MILLIS + SLACK_MILLIS ? 1 : 0;
        rig.note("origin: last byte of attempt " + attempt + " of k=" + name + " has come, " + age
            + " ms after the first attempt began: " + (repeat ? "dropped as a repeat" : "APPLIED"));
    }

    private synchronized void verdict() {
        int twice = 0;
        int once = 0;
        for (Map.Entry<String, Key> entry : keys.entrySet()) {
            Key key = entry.getValue();
            rig.note("k=" + entry.getKey() + ": attempts " + key.attempts + ", applied " + key.applied
                + ", attempts complete after the window " + key.late);
            twice += key.applied > 1 && key.late > 0 ? 1 : 0;
            once += key.applied == 1 ? 1 : 0;
        }
        if (keys.size() < WRITES) {
            rig.exit(2, "only " + keys.size() + " writes reached the origin");
        }
        rig.exit(twice > 0 ? 1 : 0, twice + " of " + WRITES + " writes were applied twice, " + once + " once");
    }
}
