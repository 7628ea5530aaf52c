import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * What the cases share: stand-ins for clients, cache nodes, the origin and discovery as PROTOCOL.md describes them, the
 * start of a proxy by the {@code run} command of deploy/balancer.toml, and the record of a run.
 */
final class Rig {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    static final String HOST = "127.0.0.1";

    final Path root;
    final Path folder;
    final Path temporary;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Proxy> proxies = new CopyOnWriteArrayList<>();

    /** The work of one case; returns the exit code. */
    interface Case {
        int run(Rig rig) throws Exception;
    }

    private Rig(Path root, Path folder) throws IOException {
        this.root = root;
        this.folder = folder;
        temporary = Files.createTempDirectory("review-");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    /** Runs a case; the arguments are the root of the repository and the folder of the case. */
    static void main(String[] args, Case work) {
        int code = COULD_NOT_RUN;
        try {
            Rig rig = new Rig(Path.of(args[0]).toAbsolutePath(), Path.of(args[1]).toAbsolutePath());
            Thread hook = new Thread(rig::end);
            Runtime.getRuntime().addShutdownHook(hook);
            try {
                code = work.run(rig);
            } catch (Exception e) {
                rig.note("the case could not run: " + e);
                e.printStackTrace();
            }
            rig.note("exit code " + code + (TROUBLE ? "" : " (TROUBLE=0)"));
            rig.end();
        } catch (IOException e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    /** Writes a line to record.txt, with the time since the start. */
    synchronized void note(String text) {
        record.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, text);
        record.flush();
    }

    private synchronized void end() {
        proxies.forEach(Proxy::kill);
        try (var paths = Files.walk(temporary)) {
            paths.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            // already removed
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread thread(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 160 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("end of stream inside a line, after '" + line + "'");
            }
            line.write(c);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] read = in.readNBytes(length);
        if (read.length < length) {
            throw new EOFException("end of stream after " + read.length + " of " + length + " bytes");
        }
        return read;
    }

    /** Handles one accepted connection. */
    interface Connected {
        void serve(Socket socket) throws IOException;
    }

    /** A listening socket on loopback with a thread for each connection. */
    static class Server {
        final int port;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private final ServerSocket listening;

        Server(String name, Connected handler) throws IOException {
            listening = new ServerSocket(0, 512, InetAddress.getByName(HOST));
            port = listening.getLocalPort();
            thread(name, () -> {
                while (!listening.isClosed()) {
                    try {
                        Socket socket = listening.accept();
                        socket.setTcpNoDelay(true);
                        open.add(socket);
                        thread(name, () -> {
                            try (socket) {
                                handler.serve(socket);
                            } catch (IOException e) {
                                // the peer has closed the connection
                            } finally {
                                open.remove(socket);
                            }
                        });
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        /** Dies as a process does: resets all connections, and new ones are refused. */
        void die() throws IOException {
            listening.close();
            for (Socket socket : open) {
                reset(socket);
            }
        }

        static void reset(Socket socket) throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** An entry of discovery's list. */
    record Target(String uid, int port, String model, String state) {
        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + HOST + ":" + port + "\",\"az\":\"east\",\"model\":\"" + model
                + "\",\"pod_group\":1,\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
        }
    }

    static String listJson(long revision, List<Target> targets) {
        return "{\"rev\":" + revision + ",\"all\":true,\"targets\":["
            + String.join(",", targets.stream().map(Target::json).toList()) + "]}";
    }

    /** Discovery with a list that stays as it is: a watch gets the whole list, then an empty line every 2 s. */
    static final class Discovery {
        final Server server;

        Discovery(List<Target> targets) throws IOException {
            server = new Server("discovery", socket -> {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                String request = readLine(in);
                while (!readLine(in).isEmpty()) {
                    continue;
                }
                OutputStream out = socket.getOutputStream();
                String list = listJson(1, targets) + "\n";
                if (!request.contains("follow=1")) {
                    out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
                    return;
                }
                out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                String line = list;
                while (true) {
                    out.write(bytes(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n"));
                    sleep(2000);
                    line = "\n";
                }
            });
        }
    }

    /** A command that came to a cache node, or a request that came to the origin. */
    record Arrived(String kind, String key, String id, String extras, byte[] value) {}

    /** A cache node: it stores what it is given and answers with a miss where it lacks a key. */
    static class CacheNode {
        final String name;
        final Server server;
        final Map<String, byte[]> stored = new ConcurrentHashMap<>();
        final List<Arrived> arrived = new CopyOnWriteArrayList<>();

        CacheNode(String name) throws IOException {
            this.name = name;
            server = new Server(name, this::serve);
        }

        private void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String[] words = readLine(in).split(" ");
                switch (words[0]) {
                    case "mn" -> out.write(bytes("MN\r\n"));
                    case "stats" -> out.write(bytes("STAT inflight 0\r\nSTAT util 0.1\r\nEND\r\n"));
                    case "mg" -> onRead(new Arrived("mg", words[1], flag(words, 'O'), flag(words, 'P'), null), out);
                    case "ms" -> {
                        byte[] value = readExactly(in, Integer.parseInt(words[2]));
                        readLine(in);
                        onWrite(new Arrived("ms", words[1], flag(words, 'O'), flag(words, 'P'), value), out);
                    }
                    default -> {
                        out.write(bytes("ERROR\r\n"));
                        return;
                    }
                }
            }
        }

        void onRead(Arrived command, OutputStream out) throws IOException {
            arrived.add(command);
            byte[] value = stored.get(command.key);
            if (value == null) {
                out.write(bytes("EN O" + command.id + "\r\n"));
            } else {
                writeValue(command, value, out);
            }
        }

        void writeValue(Arrived command, byte[] value, OutputStream out) throws IOException {
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            answer.writeBytes(bytes("VA " + value.length + " O" + command.id + " h1\r\n"));
            answer.writeBytes(value);
            answer.writeBytes(bytes("\r\n"));
            out.write(answer.toByteArray());
        }

        void onWrite(Arrived command, OutputStream out) throws IOException {
            arrived.add(command);
            stored.put(command.key, command.value);
            out.write(bytes("HD O" + command.id + " c" + name + "-" + command.id + "\r\n"));
        }

        static String flag(String[] words, char letter) {
            return Arrays.stream(words).skip(2).filter(word -> !word.isEmpty() && word.charAt(0) == letter)
                .map(word -> word.substring(1)).findFirst().orElse("");
        }
    }

    /** The origin: HTTP/1.1, GET and PUT, each after a time of work. */
    static class Origin {
        final Server server;
        final Map<String, byte[]> stored = new ConcurrentHashMap<>();
        final List<Arrived> arrived = new CopyOnWriteArrayList<>();
        private final long workMillis;

        Origin(long workMillis) throws IOException {
            this.workMillis = workMillis;
            server = new Server("origin", this::serve);
        }

        private void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String[] request = readLine(in).split(" ");
                if (request.length != 3 || !request[2].startsWith("HTTP/1.")) {
                    out.write(bytes("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
                    return;
                }
                Map<String, String> headers = new ConcurrentHashMap<>();
                for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                    headers.put(line.split(":", 2)[0].toLowerCase(), line.split(":", 2)[1].strip());
                }
                byte[] body = readExactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
                if (request[1].equals("/ping") || request[1].equals("/_load")) {
                    out.write(bytes("HTTP/1.1 200 OK\r\nX-Load: inflight=0\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                Arrived message = new Arrived(request[0], request[1].substring(1), headers.getOrDefault("x-request-id", ""),
                    headers.getOrDefault("x-extras", ""), body);
                arrived.add(message);
                sleep(workMillis);
                respond(answer(message), out);
            }
        }

        void respond(byte[] answer, OutputStream out) throws IOException {
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            response.writeBytes(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + answer.length + "\r\n\r\n"));
            response.writeBytes(answer);
            out.write(response.toByteArray());
        }

        byte[] answer(Arrived message) {
            if (message.kind.equals("PUT")) {
                stored.put(message.key, message.value);
                return bytes("origin-" + message.id);
            }
            return stored.getOrDefault(message.key, bytes("origin-has-no-" + message.key));
        }
    }

    /** One proxy, started by the run command of the deploy file. */
    final class Proxy {
        final int port = freePort();
        final int adminPort = freePort();
        private final Path config = temporary.resolve("config-" + port + ".json");
        private final Path log = temporary.resolve("log-" + port + ".txt");
        private Process process;

        Proxy() throws IOException {}

        void writeConfig(int discoveryPort, List<Target> known, String settings) throws IOException {
            Path next = temporary.resolve("config-next.json");
            Files.writeString(next, "{\"name\":\"n1\",\"listen\":\"" + HOST + ":" + port + "\",\"discovery\":\"" + HOST + ":"
                + discoveryPort + "\",\"admin_addr\":\"" + HOST + ":" + adminPort + "\",\"seed\":\"8c1f30d27a5be964\",\n"
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n\"known\":" + listJson(1, known)
                + ",\n\"settings\":" + settings + "}\n");
            Files.move(next, config, StandardCopyOption.REPLACE_EXISTING);
        }

        void start(int discoveryPort) throws IOException {
            String run = null;
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    run = line.substring("run = \"".length(), line.lastIndexOf('"')).replace("\\\"", "\"");
                }
            }
            Path own = Files.createDirectory(temporary.resolve("tmp-" + port));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile())
                .redirectErrorStream(true).redirectOutput(log.toFile()).redirectInput(new File("/dev/null"));
            builder.environment().putAll(Map.of("BALANCER_NAME", "n1", "BALANCER_LISTEN", HOST + ":" + port,
                "BALANCER_DISCOVERY", HOST + ":" + discoveryPort, "BALANCER_CONFIG", config.toString(),
                "TMPDIR", own.toString()));
            process = builder.start();
            proxies.add(this);
            long deadline = System.nanoTime() + 30_000_000_000L;
            while (true) {
                try (Client client = new Client(port)) {
                    client.socket.setSoTimeout(1000);
                    client.send(bytes("mn\r\n"));
                    if (readLine(client.in).equals("MN")) {
                        break;
                    }
                } catch (IOException e) {
                    if (System.nanoTime() > deadline || !process.isAlive()) {
                        throw new IOException("the proxy does not start: " + Files.readString(log));
                    }
                    sleep(100);
                }
            }
            note("proxy is ready, pid " + process.pid());
        }

        void signal(String name) throws IOException, InterruptedException {
            note("SIG" + name + " to the proxy");
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
        }

        boolean isAlive() {
            return process.isAlive();
        }

        int exitCode() {
            return process.exitValue();
        }

        boolean endsWithin(long millis) throws InterruptedException {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        }

        /** Notes the last lines of the log. */
        void noteLog(int lines) throws IOException {
            List<String> all = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
            all.subList(Math.max(0, all.size() - lines), all.size()).forEach(line -> note("log: " + line));
        }

        String call(String method, String path) throws IOException {
            try (Socket socket = new Socket(HOST, adminPort)) {
                socket.setSoTimeout(2000);
                socket.getOutputStream().write(bytes(method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            }
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    /** An answer of a proxy: its line, and the value of a VA. */
    record Answer(String line, byte[] value) {
        boolean isServed() {
            return line.startsWith("VA ") || line.startsWith("HD ");
        }
    }

    /** A connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        private final OutputStream out;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress(HOST, port), 3000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(byte[] message) throws IOException {
            out.write(message);
        }

        Answer receive(int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            String line = readLine(in);
            if (!line.startsWith("VA ")) {
                return new Answer(line, null);
            }
            byte[] value = readExactly(in, Integer.parseInt(line.split(" ")[1]));
            readLine(in);
            return new Answer(line, value);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Settings of a small deployment, in the form of deploy/example.json. */
    static String settings(String kinds, int originKind, String tracks) {
        return "{\"balancers\":1,\"discovery\":\"on_request\",\"failureDomains\":[\"east\"],\"kinds\":" + kinds
            + ",\"familyInfo\":{\"mode\":\"aside\",\"originKind\":" + originKind + "},\"weights\":\"nominal\",\"tickUs\":5000,"
            + "\"allowed\":{\"cancel\":true,\"probes\":true,\"retryAfter\":true,\"maxRetryAfterUs\":2000000,\"mostExecutions\":6,"
            + "\"connectTimeoutUs\":250000,\"idleCloseUs\":5000000,\"maxOpen\":20000},"
            + "\"obligations\":{\"coldUs\":9000000,\"startCapacity\":0.3,\"askWithinUs\":10000000,\"drainGraceUs\":2000000},"
            + "\"report\":{\"columns\":[\"busy\",\"rif\"]},\"tracks\":" + tracks + "}";
    }

    static final String TRACKS = "[{\"name\":\"read\",\"effect\":\"retryable\",\"sloTimeUs\":1200000,"
        + "\"statementTimeoutUs\":2500000,\"importance\":1.0,\"tardyImportance\":0.3},"
        + "{\"name\":\"put\",\"effect\":\"dedup\",\"dedupScope\":\"all\",\"dedupWindowUs\":2500000,\"sloTimeUs\":1200000,"
        + "\"statementTimeoutUs\":3000000,\"importance\":2.0,\"tardyImportance\":0.25}]";
}
