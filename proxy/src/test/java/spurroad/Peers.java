package spurroad;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import spurroad.protocol.ByteSource;

/** Peers on loopback that answer by a rule, clients, and the text that a proxy is started with. */
public final class Peers {
    private Peers() {}

    private static final int PATIENCE_MS = 20_000;

    /**
     * A peer on loopback: what it hears is kept, "closed" once a connection ends; a null answer is silence.
     */
    public static final class Peer implements AutoCloseable {
        public final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        public final AtomicInteger connections = new AtomicInteger();
        public final int port;
        private final ServerSocket server;
        private final Function<String, String> rule;
        private final CountDownLatch answered = new CountDownLatch(1);
        private volatile Socket last;

        public Peer(Function<String, String> rule) {
            this.rule = rule;
            try {
                server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            port = server.getLocalPort();
            daemon(this::accept);
        }

        private void accept() {
            try {
                while (true) {
                    Socket s = server.accept();
                    connections.incrementAndGet();
                    last = s;
                    daemon(() -> serve(s));
                }
            } catch (IOException e) {
                // closed by the test
            }
        }

        private void serve(Socket s) {
            try (s) {
                ByteSource in = new ByteSource(s.getInputStream());
                for (String message = message(in); message != null; message = message(in)) {
                    heard.add(message);
                    String answer = rule.apply(message);
                    if (answer != null && answer.isEmpty()) {
                        return;
                    }
                    if (answer != null) {
                        s.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    }
                    answered.countDown();
                }
            } catch (IOException e) {
                // the proxy closed it
            } finally {
                heard.add("closed");
            }
        }

        private static String message(ByteSource in) throws IOException {
            String line = in.line(9000);
            if (line == null || line.startsWith("mg ") || line.startsWith("stats ")) {
                return line;
            }
            StringBuilder whole = new StringBuilder(line);
            int length = line.startsWith("ms ") ? Integer.parseInt(line.split(" ")[2]) : 0;
            for (String h = line.startsWith("ms ") ? "" : in.line(9000); !h.isEmpty(); h = in.line(9000)) {
                whole.append('\n').append(h);
                length = h.startsWith("Content-Length: ") ? Integer.parseInt(h.substring(16)) : length;
            }
            byte[] body = new byte[length];
            in.bytes(body, 0, length);
            if (line.startsWith("ms ")) {
                in.lineEnd();
            }
            return whole.append('\n').append(new String(body, StandardCharsets.ISO_8859_1)).toString();
        }

        /**
         * Writes to the connection opened last, without being asked, once something was heard and answered.
         */
        public void say(String text) throws IOException, InterruptedException {
            // a proxy serves before it has reached discovery: what was said first found no connection (CI)
            assertTrue(answered.await(PATIENCE_MS, TimeUnit.MILLISECONDS), "nobody came");
            last.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Ends the connection opened last; what the other side reads next is that. */
        public void hangUp() throws IOException {
            last.close();
        }

        /** Breaks the connection opened last; what was said before can still be read. */
        public void reset() throws IOException {
            last.setSoLinger(true, 0);
            last.close();
        }

        /** The next thing heard that begins so. */
        public String await(String start) throws InterruptedException {
            String next = heard.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
            while (next != null && !next.startsWith(start)) {
                next = heard.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
            }
            return next;
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** A client of a proxy. */
    public static final class Client implements AutoCloseable {
        private final Socket socket;
        public final ByteSource in;

        public Client(int port) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout(PATIENCE_MS);
            in = new ByteSource(socket.getInputStream());
        }

        public Client say(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** The next line, or null at the end, however that comes. */
        public String line() throws IOException {
            try {
                return in.line(70_000);
            } catch (SocketException e) {
                return null;
            }
        }

        /**
         * Says more than the other side may read now; what it has not taken is lost once this client leaves.
         */
        public void sayInBackground(String text) {
            daemon(() -> say(text));
        }

        /** Leaves by a reset. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** What a peer does on a thread of its own. */
    public interface Work {
        void run() throws Exception;
    }

    /** Has it done until it ends or its connection is closed. */
    public static void daemon(Work work) {
        Thread t = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // the other side, or the test, closed what it works on
            }
        });
        t.setDaemon(true);
        t.start();
    }

    /** A list entry as discovery writes it. */
    public static String target(String uid, String model, int port, String state, long boot) {
        return ("{'uid':'" + uid + "','endpoint':'127.0.0.1:" + port + "','az':'a','model':'" + model
            + "','pod_group':1,'state':'" + state + "','capacity_hint':1.0,'boot_ms':" + boot + "}")
            .replace('\'', '"');
    }

    public static String list(long rev, boolean whole, String... targets) {
        return "{\"rev\":" + rev + ",\"all\":" + whole + ",\"targets\":[" + String.join(",", targets) + "]}";
    }

    /** A line of a watch, as a chunk of its own. */
    public static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    /**
     * What a proxy is started with, a process of many tests never using up its share of cores: a read and a
     * marked write, cache nodes before an origin.
     */
    public static String start(int discovery, int sockets, String known) {
        return ("{'name':'n1','listen':'127.0.0.1:0','discovery':'127.0.0.1:" + discovery + "','seed':'7f',"
            + "'limits':{'cores':64.0,'memory_mb':192,'sockets':" + sockets + "},'known':" + known
            + ",'settings':{"
            + "'tickUs':5000,'discovery':'on_request','kinds':['m1','origin'],'failureDomains':['a'],"
            + "'familyInfo':{'mode':'aside','originKind':1}"
            + ",'projects':[{'name':'acme','allowancePerS':1000}],"
            + "'allowed':{'cancel':true,'probes':true,'retryAfter':true,'maxRetryAfterUs':2000000,"
            + "'mostExecutions':6,'connectTimeoutUs':250000,'idleCloseUs':60000000}"
            + ",'report':{'columns':['rif']},"
            + "'tracks':[{'name':'read','effect':'retryable','sloTimeUs':8000000,'importance':1},"
            + "{'name':'put','effect':'dedup','dedupScope':'all','dedupWindowUs':9000000,"
            + "'sloTimeUs':8000000,'importance':5}]}}").replace('\'', '"');
    }
}
