package spurroad.program;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import spurroad.model.CellId;
import spurroad.model.Effect;
import spurroad.model.KindId;
import spurroad.model.NodeEntry;
import spurroad.model.NodeId;
import spurroad.model.Phase;
import spurroad.model.ZoneId;
import spurroad.protocol.Members;
import spurroad.protocol.Members.Member;
import spurroad.routing.Clients;
import spurroad.routing.Decider;
import spurroad.start.ProxyStart;
import spurroad.transport.Clock;
import spurroad.transport.Connection;
import spurroad.transport.Descriptors;
import spurroad.transport.EventLog;
import spurroad.transport.Threads;

/**
 * Plays queries through all of the program before it takes any, between peers that exist in memory only and with a
 * module of its own: in a fresh process each takes some thirty times as long as later, and on a part of a core the
 * first seconds' queries were late, were rejected and came back until nothing else was done.
 */
final class Rehearsal {
    private static final int QUERIES = 800; // the quick compiler takes up what has run some hundred times
    private static final int CLIENTS = 4; // at once: queries meet each other, as later
    private static final long LONGEST_MS = 4_000; // ms; a process so slow is better cold than late
    private static final int NODES = 4, PLACES = 200; // cache nodes; connections, which all fit
    private static final String VALUE = "8c1f30d27a5be964";

    private final ProxyStart start;
    private final AtomicLong asked = new AtomicLong();
    private final CountDownLatch answers = new CountDownLatch(QUERIES);

    Rehearsal(ProxyStart start) {
        this.start = start;
    }

    /** Returns when all is played, or after a while. */
    void play(Threads threads, EventLog log, Clock clock) throws InterruptedException {
        Decider decider = new Decider(start, threads, log, clock, new Descriptors(PLACES),
            () -> new Peer(Rehearsal::node), 0);
        Clients clients = new Clients(start, threads, log, clock, decider, PLACES);
        decider.follows(() -> { });
        decider.listed(new Members(1, true, nodes()));
        threads.start("rehearsal", decider);
        List<Peer> peers = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Peer peer = new Peer(this::client);
            peers.add(peer);
            clients.accepted(new Connection(peer, () -> { }), false);
            peer.hear(command(asked.getAndIncrement()));
        }
        answers.await(LONGEST_MS, TimeUnit.MILLISECONDS);
        peers.forEach(Peer::close);
        clients.end();
        decider.listed(new Members(2, true, List.of()));
        decider.end();
    }

    /** How many queries have had no answer. */
    long left() {
        return answers.getCount();
    }

    private List<Member> nodes() {
        KindId origin = start.figures.deployment.originKind();
        InetSocketAddress nowhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        List<Member> nodes = new ArrayList<>();
        for (int i = 0; i <= NODES; i++) {
            KindId kind = i < NODES ? new KindId(Integer.MAX_VALUE) : origin;
            if (kind != null) {
                nodes.add(new Member(new NodeEntry(new NodeId(i + 1), kind, new ZoneId(0), new CellId(0), 0, 1,
                    Phase.READY), nowhere));
            }
        }
        return nodes;
    }

    /** Mostly reads, some of which miss, and a write where the deployment has a track for that. */
    private String command(long n) {
        int tracks = start.figures.tracks.size();
        int track = n % 16 == 0 ? tracks - 1 : 0;
        Effect effect = start.figures.deployment.tracks().get(track).effect();
        String customer = start.figures.customers.isEmpty() ? "" : ",t=" + start.figures.customers.get(0);
        String extras = " O" + Long.toHexString(n) + " Pc=" + start.figures.tracks.get(track) + customer + ",d=5000"
            + (effect == Effect.DEDUPLICATED ? ",k=" + n : "") + ",h=1000,size=1.0\r\n";
        return effect == Effect.IDEMPOTENT ? "mg " + n % 256 + " v" + extras
            : "ms " + n % 256 + " " + VALUE.length() + extras + VALUE + "\r\n";
    }

    /** A client asks again as soon as it has its answer. */
    private String client(String answer) {
        answers.countDown();
        long next = asked.getAndIncrement();
        return next < QUERIES ? command(next) : null;
    }

    private static String node(String message) {
        if (message.startsWith("stats")) {
            return "STAT rate 1.0\r\nSTAT inflight 1\r\nEND\r\n";
        }
        if (!message.startsWith("mg ") && !message.startsWith("ms ")) {
            return "HTTP/1.1 200 OK\r\nContent-Length: " + VALUE.length() + "\r\n\r\n" + VALUE;
        }
        String[] tokens = message.split(" ");
        String id = tokens[3];
        return message.startsWith("ms ") ? "HD " + id + " c1\r\n"
            : tokens[1].hashCode() % 4 == 0 ? "EN " + id + " h0\r\n"
            : "VA " + VALUE.length() + " " + id + " h1\r\n" + VALUE + "\r\n";
    }

    /** A socket in memory: each write to it is one message, which its peer may answer at once. */
    private static final class Peer extends Socket {
        private static final byte[] END = {};
        private final BlockingQueue<byte[]> toRead = new LinkedBlockingQueue<>();
        private final Function<String, String> rule;
        private volatile boolean closed;

        private Peer(Function<String, String> rule) {
            this.rule = rule;
        }

        private void hear(String text) {
            toRead.add(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void connect(SocketAddress to, int mostMs) { }

        @Override
        public void setTcpNoDelay(boolean on) { }

        @Override
        public void setSoTimeout(int ms) { }

        @Override
        public boolean isClosed() {
            return closed;
        }

        @Override
        public void close() {
            closed = true;
            toRead.add(END);
        }

        @Override
        public InputStream getInputStream() {
            return new InputStream() {
                private byte[] now = END;
                private int at;

                @Override
                public int read() throws IOException {
                    byte[] one = new byte[1];
                    return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
                }

                @Override
                public int available() {
                    return now.length - at;
                }

                @Override
                public int read(byte[] into, int from, int most) throws IOException {
                    try {
                        if (at == now.length) {
                            now = toRead.take();
                            at = 0;
                        }
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    int n = Math.min(most, now.length - at);
                    System.arraycopy(now, at, into, from, n);
                    at += n;
                    return n == 0 ? -1 : n;
                }
            };
        }

        @Override
        public OutputStream getOutputStream() {
            return new OutputStream() {
                @Override
                public void write(int b) {
                    write(new byte[] {(byte) b}, 0, 1);
                }

                @Override
                public void write(byte[] message, int from, int length) {
                    String answer = rule.apply(new String(message, from, length, StandardCharsets.ISO_8859_1));
                    if (answer != null) {
                        hear(answer);
                    }
                }
            };
        }
    }
}
