package spurroad;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Cache nodes and an origin on loopback that one thread reads as soon as something comes, and that tell when
 * each request's first line came. Answers may be held back until a moment; load probes are answered at once.
 */
public final class RecordingNodes implements AutoCloseable {
    /** Before the ids of requests that came to it as to an origin, over HTTP. */
    public static final String AT_ORIGIN = "GET ";

    private static final int BUFFER_BYTES = 1 << 16;
    private static final int LONGEST_LINE = 256; // characters; of what the tests send
    private static final String LINE_END = "\r\n";
    private static final Pattern COMMAND = Pattern.compile("m[gs] \\S+ \\S+ O(\\S+).*");
    private static final Pattern HEADER = Pattern.compile(
        "X-Request-Id: (\\S+)");

    private record Held(SocketChannel to, String answer) {}

    private final Selector selector;
    private final Map<String, Long> firstCameAt = new ConcurrentHashMap<>();
    private final Function<String, String> answers;
    private final List<Held> held = new ArrayList<>();
    private final List<ServerSocketChannel> servers = new ArrayList<>();
    private volatile boolean released;
    private volatile boolean ended;
    private volatile long longestTurnNs;

    /**
     * Starts them.
     *
     * @param answers the held back answer to a request, by its id, behind {@link #AT_ORIGIN} there; null for
     *     silence
     */
    public RecordingNodes(int count, Function<String, String> answers) throws IOException {
        this.answers = answers;
        selector = Selector.open();
        for (int i = 0; i < count; i++) {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024)
                .configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT);
            servers.add(server);
        }
        Peers.daemon(this::run);
    }

    /** The port of one of them. */
    public int port(int node) {
        return servers.get(node).socket().getLocalPort();
    }

    /**
     * When the first line of each request came, by its id, behind {@link #AT_ORIGIN} there; by
     * {@link System#nanoTime}.
     */
    public Map<String, Long> firstCameAt() {
        return firstCameAt;
    }

    /**
     * For how long something that had come waited at most for its turn, in nanoseconds: times may be late by
     * that.
     */
    public long longestTurnNs() {
        return longestTurnNs;
    }

    /** Has all answers go out that are held back, and further ones at once. */
    public void release() {
        released = true;
        selector.wakeup();
    }

    private void run() throws IOException {
        ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
        while (!ended) {
            selector.select();
            long since = System.nanoTime();
            for (SelectionKey key : selector.selectedKeys()) {
                try {
                    if (key.isAcceptable()) {
                        accept((ServerSocketChannel) key.channel());
                    } else {
                        read(key, buffer.clear());
                    }
                } catch (IOException e) {
                    close(key);
                }
            }
            selector.selectedKeys().clear();
            if (released) {
                for (Held each : held) {
                    write(each.to, each.answer);
                }
                held.clear();
            }
            longestTurnNs = Math.max(longestTurnNs, System.nanoTime() - since);
        }
        for (SelectionKey key : selector.keys()) {
            close(key);
        }
        selector.close();
    }

    private void accept(ServerSocketChannel server) throws IOException {
        for (SocketChannel next = server.accept(); next != null; next = server.accept()) {
            next.configureBlocking(false);
            next.register(selector, SelectionKey.OP_READ, new StringBuilder());
        }
    }

    private void read(SelectionKey key, ByteBuffer buffer) throws IOException {
        SocketChannel from = (SocketChannel) key.channel();
        if (from.read(buffer) < 0) {
            close(key);
            return;
        }
        StringBuilder text = (StringBuilder) key.attachment();
        text.append(StandardCharsets.ISO_8859_1.decode(buffer.flip()));
        int begin = 0;
        for (int end = text.indexOf(LINE_END); end >= 0; end = text.indexOf(LINE_END, begin)) {
            if (end - begin <= LONGEST_LINE) {
                take(from, text.substring(begin, end));
            }
            begin = end + LINE_END.length();
        }
        text.delete(0, Math.max(begin, text.length() - LONGEST_LINE)); // values are not looked at
    }

    private void take(SocketChannel from, String line) {
        Matcher command = COMMAND.matcher(line);
        Matcher header = HEADER.matcher(line);
        if (line.equals("stats load")) {
            write(from, "STAT inflight 0\r\nEND\r\n");
        } else if (line.equals("mn")) {
            write(from, "MN\r\n");
        } else if (command.matches()) {
            came(from, command.group(1));
        } else if (header.matches()) {
            came(from, AT_ORIGIN + header.group(1));
        }
    }

    private void came(SocketChannel from, String id) {
        firstCameAt.putIfAbsent(id, System.nanoTime());
        String answer = answers.apply(id);
        if (answer != null && released) {
            write(from, answer);
        } else if (answer != null) {
            held.add(new Held(from, answer));
        }
    }

    private static void write(SocketChannel to, String answer) {
        try {
            // short: the system takes it whole
            to.write(ByteBuffer.wrap(answer.getBytes(StandardCharsets.ISO_8859_1)));
        } catch (IOException e) {
            // the proxy has closed it
        }
    }

    private static void close(SelectionKey key) {
        try {
            key.channel().close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        ended = true;
        selector.wakeup();
    }
}
