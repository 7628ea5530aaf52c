import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases of this review share: the record, the start of a proxy by the deploy file, and stand-ins for
 * discovery, cache nodes and the origin. Run from the root of the repository.
 */
final class Rig {
    /** The first line and the value of an answer, or what happened instead. */
    record Answer(String line, byte[] value) {
        boolean isWhole() {
            return line.startsWith("VA ") || line.startsWith("HD ") || line.startsWith("SERVER_ERROR")
                || line.startsWith("CLIENT_ERROR") || line.startsWith("ERROR") || line.startsWith("MN");
        }
    }

    static final String LOOPBACK = "127.0.0.1";
    static final byte[] END = {'\r', '\n'};

    final Path folder;
    final Path temporary;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final long startNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final StringBuilder record = new StringBuilder();

    Rig(String folderName) throws IOException {
        folder = Path.of(folderName);
        String parent = System.getenv().getOrDefault("TMPDIR", "");
        temporary = Files.createTempDirectory(
            Path.of(parent.isEmpty() ? System.getProperty("java.io.tmpdir") : parent), "spurroad-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::cleanUp));
        note("trouble=" + (trouble ? 1 : 0));
    }

    // ---- record and end

    synchronized void note(String line) {
        record.append(String.format("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line));
    }

    /** Writes the record, ends all processes and exits: 0 held, 1 broken, 2 could not run. */
    void exit(int code, String why) {
        note((code == 0 ? "HELD: " : code == 1 ? "BROKEN: " : "COULD NOT RUN: ") + why);
        System.out.println((code == 0 ? "held: " : code == 1 ? "broken: " : "could not run: ") + why);
        cleanUp();
        Runtime.getRuntime().halt(code);
    }

    private synchronized void cleanUp() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        try {
            Files.writeString(folder.resolve("record.txt"), record.toString());
            try (var files = Files.walk(temporary)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            }
        } catch (IOException e) {
            // nothing left to tidy
        }
    }

    /** Runs a case; what it throws means that it could not run. */
    interface Body {
        void run(Rig rig) throws Exception;
    }

    static void main(String folder, Body body) throws IOException {
        Rig rig = new Rig(folder);
        Thread guard = new Thread(() -> {
            sleep(115_000);
            rig.exit(2, "not over after 115 s");
        });
        guard.setDaemon(true);
        guard.start();
        try {
            body.run(rig);
            rig.exit(2, "no verdict");
        } catch (Throwable e) {
            e.printStackTrace();
            rig.exit(2, e.toString());
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread thread(Body0 body) {
        Thread thread = new Thread(null, () -> {
            try {
                body.run();
            } catch (Exception e) {
                // a peer that went away
            }
        }, "rig", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Body0 {
        void run() throws Exception;
    }

    static long nowMicros() {
        return System.nanoTime() / 1000;
    }

    /** Has a process ended with the case. */
    synchronized void watch(Process process) {
        processes.add(process);
    }

    // ---- the proxy

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            return socket.getLocalPort();
        }
    }

    /** Returns the command of the deploy file, without the one option that this machine's JVM may refuse. */
    String runCommand() throws Exception {
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!matcher.find()) {
            throw new IllegalStateException("no run in the deploy file");
        }
        String run = matcher.group(1);
        String option = "-XX:StackShadowPages=10";
        Process probe = new ProcessBuilder("java", option, "-version").redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        if (probe.waitFor() != 0 && run.contains(option)) {
            run = run.replace(option + " ", "");
            note("this JVM refuses " + option + ", left out");
        }
        return run;
    }

    /** A running proxy. */
    final class Proxy {
        final String name;
        final int port;
        final int adminPort;
        final Path configuration;
        final Path log;
        final String run;
        Process process;

        Proxy(String name, String run) throws IOException {
            this.name = name;
            this.run = run;
            port = freePort();
            adminPort = freePort();
            configuration = temporary.resolve(name + ".json");
            log = temporary.resolve(name + ".log");
        }

        void configure(String settings, String known, int discoveryPort, String limits) throws IOException {
            String text = "{\"name\":\"" + name + "\",\"listen\":\"" + LOOPBACK + ":" + port
                + "\",\"discovery\":\"" + LOOPBACK + ":" + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":" + limits + ",\"known\":" + known + ",\"settings\":" + settings + "}";
            Path part = temporary.resolve(name + ".part");
            Files.writeString(part, text);
            Files.move(part, configuration, java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        void start(Map<String, String> more) throws IOException {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
            Map<String, String> environment = builder.environment();
            environment.put("BALANCER_NAME", name);
            environment.put("BALANCER_LISTEN", LOOPBACK + ":" + port);
            environment.put("BALANCER_ADMIN_ADDR", LOOPBACK + ":" + adminPort);
            environment.put("BALANCER_CONFIG", configuration.toString());
            environment.put("TMPDIR", temporary.toString());
            environment.putAll(more);
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            synchronized (Rig.this) {
                processes.add(process);
            }
            note(name + " started, pid " + process.pid());
        }

        void signal(String signal) throws Exception {
            note("SIG" + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(LOOPBACK, port), 500);
                socket.setSoTimeout(2000);
                socket.getOutputStream().write("mn\r\n".getBytes());
                return "MN".equals(readLine(new BufferedInputStream(socket.getInputStream())));
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() {
            for (int i = 0; i < 300; i++) {
                if (!process.isAlive()) {
                    throw new IllegalStateException(name + " ended with " + process.exitValue() + "\n" + tail());
                }
                if (isReady()) {
                    note(name + " answers MN");
                    return;
                }
                sleep(100);
            }
            throw new IllegalStateException(name + " not ready\n" + tail());
        }

        String admin(String method, String path) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(LOOPBACK, adminPort), 1000);
                socket.setSoTimeout(2000);
                socket.getOutputStream()
                    .write((method + " " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n").getBytes());
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            } catch (IOException e) {
                return e.toString();
            }
        }

        /** Returns the last lines of the log. */
        String tail() {
            try {
                List<String> lines = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
                return String.join("\n", lines.subList(Math.max(0, lines.size() - 15), lines.size()));
            } catch (IOException e) {
                return "";
            }
        }

        long residentKb() {
            try {
                for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                    if (line.startsWith("VmRSS:")) {
                        return Long.parseLong(line.replaceAll("[^0-9]", ""));
                    }
                }
            } catch (IOException | NumberFormatException e) {
                // ended
            }
            return -1;
        }
    }

    // ---- bytes

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        return null;
    }

    /** Reads one answer of a proxy. */
    static Answer readAnswer(InputStream in) {
        try {
            String line = readLine(in);
            if (line == null) {
                return new Answer("END OF STREAM", null);
            }
            if (!line.startsWith("VA ")) {
                return new Answer(line, null);
            }
            int length = Integer.parseInt(line.split(" ")[1]);
            byte[] value = in.readNBytes(length);
            byte[] end = in.readNBytes(2);
            return value.length == length && end.length == 2 ? new Answer(line, value)
                : new Answer("CUT OFF after " + value.length + " bytes: " + line, null);
        } catch (IOException e) {
            return new Answer("LOST: " + e.getMessage(), null);
        }
    }

    static String option(String line, String name) {
        for (String token : line.split(" ")) {
            if (token.startsWith("P")) {
                for (String pair : token.substring(1).split(",")) {
                    if (pair.startsWith(name + "=")) {
                        return pair.substring(name.length() + 1);
                    }
                }
            }
        }
        return "";
    }

    static String id(String line) {
        for (String token : line.split(" ")) {
            if (token.startsWith("O")) {
                return token.substring(1);
            }
        }
        return "";
    }

    // ---- servers

    static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 1024, InetAddress.getByName(LOOPBACK));
    }

    /** Handles one command of a cache node; the value is null for a read. */
    interface Command {
        void handle(Socket socket, String line, byte[] value, OutputStream out) throws Exception;
    }

    /** A cache node: meta commands on a connection, one after another. */
    static final class Node {
        final String uid;
        final ServerSocket server;
        final Command command;
        final AtomicInteger connections = new AtomicInteger();

        Node(String uid, Command command) throws IOException {
            this.uid = uid;
            this.command = command;
            server = listen();
            thread(() -> {
                while (true) {
                    Socket socket = server.accept();
                    thread(() -> serve(socket));
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        private void serve(Socket socket) throws Exception {
            connections.incrementAndGet();
            try (socket) {
                socket.setTcpNoDelay(true);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (String line = readLine(in); line != null; line = readLine(in)) {
                    if (line.equals("mn")) {
                        out.write("MN\r\n".getBytes());
                    } else if (line.equals("stats load")) {
                        out.write("STAT inflight 0\r\nEND\r\n".getBytes());
                    } else {
                        byte[] value = null;
                        if (line.startsWith("ms ")) {
                            value = in.readNBytes(Integer.parseInt(line.split(" ")[2]));
                            in.readNBytes(2);
                        }
                        command.handle(socket, line, value, out);
                    }
                }
            } finally {
                connections.decrementAndGet();
            }
        }
    }

    /** One call to the origin. */
    record Call(String method, String key, String id, String extras, byte[] body, Socket socket,
                OutputStream out) {
        void answer(int status, String headers, byte[] bytes) throws IOException {
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.write(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length
                + "\r\n\r\n").getBytes());
            message.write(bytes);
            out.write(message.toByteArray());
        }

        void ok(String text) throws IOException {
            answer(200, "", text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    interface CallHandler {
        void handle(Call call) throws Exception;
    }

    /** The origin: HTTP/1.1 with connections that are kept. */
    static final class Origin {
        final ServerSocket server;

        Origin(CallHandler handler) throws IOException {
            server = listen();
            thread(() -> {
                while (true) {
                    Socket socket = server.accept();
                    thread(() -> serve(socket, handler));
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        private static void serve(Socket socket, CallHandler handler) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                for (String line = readLine(in); line != null; line = readLine(in)) {
                    String[] parts = line.split(" ");
                    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
                    for (String header = readLine(in); header != null && !header.isEmpty();
                        header = readLine(in)) {
                        int colon = header.indexOf(':');
                        headers.put(header.substring(0, colon), header.substring(colon + 1).strip());
                    }
                    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
                    Call call = new Call(parts[0], parts[1].substring(1),
                        headers.getOrDefault("X-Request-Id", ""), headers.getOrDefault("X-Extras", ""), body,
                        socket, socket.getOutputStream());
                    if (call.key.equals("_load") || call.key.equals("ping")) {
                        call.ok("");
                    } else {
                        handler.handle(call);
                    }
                }
            }
        }
    }

    /** One entry of discovery's list. */
    record Entry(String uid, int port, String kind, String state, long bootMs) {
        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + LOOPBACK + ":" + port
                + "\",\"az\":\"east\",\"model\":\"" + kind + "\",\"pod_group\":" + (kind.equals("origin") ? 0 : 1)
                + ",\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}";
        }

        Entry withState(String next) {
            return new Entry(uid, port, kind, next, bootMs);
        }
    }

    static String list(long revision, boolean all, List<Entry> entries) {
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":["
            + String.join(",", entries.stream().map(Entry::json).toList()) + "]}";
    }

    /** Discovery: the whole list, and watches that bring changes and an empty line every 2 s. */
    static class Discovery {
        final ServerSocket server;
        final Map<String, Entry> entries = new java.util.LinkedHashMap<>();
        private final List<Watch> watches = new ArrayList<>();
        long revision = 1;

        /** One open watch; a silent one says nothing more. */
        final class Watch {
            final OutputStream out;
            final Socket socket;
            volatile boolean silent;

            Watch(Socket socket) throws IOException {
                this.socket = socket;
                out = socket.getOutputStream();
            }

            synchronized void line(String text) throws IOException {
                if (!silent) {
                    byte[] bytes = (text + "\n").getBytes();
                    out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes());
                    out.write(bytes);
                    out.write(END);
                    out.flush();
                }
            }
        }

        Discovery(List<Entry> initial) throws IOException {
            initial.forEach(entry -> entries.put(entry.uid(), entry));
            server = listen();
            thread(() -> {
                while (true) {
                    Socket socket = server.accept();
                    thread(() -> serve(socket));
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        /** Called for each call before it is answered; may throw, wait, or answer by itself and return false. */
        boolean admits(Socket socket, String target) throws Exception {
            return true;
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                String line = readLine(in);
                for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
                    continue;
                }
                String target = line.split(" ")[1];
                if (!admits(socket, target)) {
                    return;
                }
                if (!target.contains("follow=1")) {
                    byte[] body = whole().getBytes();
                    socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes());
                    socket.getOutputStream().write(body);
                    return;
                }
                Watch watch = new Watch(socket);
                socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
                synchronized (this) {
                    watch.line(whole());
                    watches.add(watch);
                }
                while (true) {
                    sleep(2000);
                    watch.line("");
                }
            }
        }

        synchronized String whole() {
            return list(revision, true, List.copyOf(entries.values()));
        }

        /** Changes an entry and tells all watches. */
        synchronized void change(Entry entry) throws IOException {
            revision++;
            entries.put(entry.uid(), entry);
            for (Watch watch : watches) {
                try {
                    watch.line(list(revision, false, List.of(entry)));
                } catch (IOException e) {
                    // ended
                }
            }
        }

        /** Makes all open watches fall silent; returns how many. */
        synchronized int silence() {
            watches.forEach(watch -> watch.silent = true);
            int count = watches.size();
            watches.clear();
            return count;
        }
    }

    // ---- clients

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final BufferedInputStream in;
        final OutputStream out;

        Client(int port) throws IOException {
            this(port, 0);
        }

        Client(int port, int receiveBuffer) throws IOException {
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(10_000);
            in = new BufferedInputStream(socket.getInputStream(), 1024);
            out = socket.getOutputStream();
        }

        void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        Answer answer() {
            return readAnswer(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static final String LIMITS = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}";

    /** Settings like those of a small deployment; the arguments are JSON. */
    static String settings(String discovery, long drainGraceUs, String tracks) {
        return "{\"balancers\":1,\"index\":0,\"discovery\":\"" + discovery
            + "\",\"failureDomains\":[\"east\"],\"kinds\":[\"standard\",\"origin\"],"
            + "\"familyInfo\":{\"mode\":\"aside\",\"originKind\":1},\"weights\":\"nominal\",\"tickUs\":5000,"
            + "\"allowed\":{\"cancel\":true,\"probes\":false,\"retryAfter\":true,\"maxRetryAfterUs\":2000000,"
            + "\"mostExecutions\":6,\"connectTimeoutUs\":250000,\"idleCloseUs\":5000000,\"maxOpen\":20000},"
            + "\"obligations\":{\"coldUs\":9000000,\"startCapacity\":0.32,\"drainGraceUs\":" + drainGraceUs
            + ",\"askWithinUs\":10000000},\"report\":{\"columns\":[\"busy\",\"rif\"],\"how\":\"off\"},"
            + "\"tracks\":" + tracks + "}";
    }

    static String track(String name, String effect, long sloUs, long timeoutUs, long windowUs) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"dedupScope\":\"all\",\"dedupWindowUs\":"
            + windowUs + ",\"sloTimeUs\":" + sloUs + ",\"statementTimeoutUs\":" + timeoutUs
            + ",\"importance\":1.0,\"tardyImportance\":0.3,\"stream\":false}";
    }

    /** The two tracks of a deployment of cache nodes that only store. */
    static final String TRACKS = "[" + track("room-read", "retryable", 1_200_000, 2_500_000, 2_500_000) + ","
        + track("rent-post", "dedup", 1_200_000, 4_000_000, 2_500_000) + ","
        + track("lease-sign", "fragile", 1_200_000, 2_500_000, 2_500_000) + "]";

    static final class Counter {
        private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();

        void add(String name) {
            counts.computeIfAbsent(name, n -> new AtomicInteger()).incrementAndGet();
        }

        int get(String name) {
            return counts.getOrDefault(name, new AtomicInteger()).get();
        }

        @Override
        public String toString() {
            return new TreeMap<>(counts).toString();
        }
    }

    static boolean await(Process process, long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }
}
