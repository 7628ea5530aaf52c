package spurroad.overload;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Peer;
import spurroad.overload.Platform.Proxy;

/**
 * Counts requests that have no response when a real proxy shuts down while clients keep using their
 * connections. Each client looks for an end of the stream right before it sends a request, so that a request
 * without a response was sent in the moment of the close.
 *
 * <p>Settings: {@code -Dplays=20 -Dclients=40 -Dseed=1 -DpauseMillis=10}; a client pauses for a random time
 * up to the last one. The proxy gets SIGTERM after a second and SIGKILL at the earliest time that the
 * platform allows.
 */
public final class ShutdownCrossings {
    private static final long LONGEST_TIMEOUT_MILLIS = 1_500;
    private static final long EARLIEST_KILL_MILLIS = LONGEST_TIMEOUT_MILLIS + 700;
    private static final long LOAD_MILLIS = 1_000; // before the signal
    private static final int MAX_RESPONSE_BYTES = 4_096;

    /** How the connection of a client ended. */
    private enum End {
        /** The client found the end before it sent a request. */
        BEFORE_REQUEST,
        /** An orderly end instead of a response. */
        ORDERLY_WITHOUT_RESPONSE,
        /** A reset instead of a response: the proxy has not read the request. */
        RESET_WITHOUT_RESPONSE
    }

    /** One client, on a thread of its own. */
    private static final class KeepAliveClient extends Thread {
        private final int number;
        private final int port;
        private final Random random;
        private final ByteBuffer buffer = ByteBuffer.allocate(MAX_RESPONSE_BYTES);
        private int responses;
        private volatile End end;
        private volatile double sentMillisBeforeEnd;

        KeepAliveClient(int number, int port, Random random) {
            this.number = number;
            this.port = port;
            this.random = random;
        }

        @Override
        public void run() {
            try (SocketChannel channel = SocketChannel
                .open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))) {
                while (end == null) {
                    Thread.sleep(random.nextInt(Integer.getInteger("pauseMillis", 10) + 1));
                    sendRequest(channel);
                }
            } catch (IOException | InterruptedException e) {
                end = end == null ? End.BEFORE_REQUEST : end;
            }
        }

        private void sendRequest(SocketChannel channel) throws IOException {
            byte[] request = ("mg k" + random.nextInt(100) + " v O" + number + "r" + responses
                + " Pc=read,t=acme,d=1500\r\n").getBytes(StandardCharsets.ISO_8859_1);
            if (hasEnded(channel)) {
                end = End.BEFORE_REQUEST;
                return;
            }
            long sentAt = System.nanoTime();
            try {
                channel.write(ByteBuffer.wrap(request));
                buffer.clear();
                if (channel.read(buffer) < 0) {
                    end = End.ORDERLY_WITHOUT_RESPONSE;
                } else {
                    responses++;
                }
            } catch (IOException e) {
                end = End.RESET_WITHOUT_RESPONSE;
            }
            sentMillisBeforeEnd = (System.nanoTime() - sentAt) / 1e6;
        }

        private boolean hasEnded(SocketChannel channel) throws IOException {
            channel.configureBlocking(false);
            int count = channel.read(buffer.clear());
            channel.configureBlocking(true);
            return count < 0;
        }
    }

    private ShutdownCrossings() {}

    /** Runs the plays and prints one line each, then the totals. */
    public static void main(String[] args) throws Exception {
        int plays = Integer.getInteger("plays", 20);
        int[] totals = new int[End.values().length];
        long requests = 0;
        for (int play = 0; play < plays; play++) {
            List<KeepAliveClient> clients = play(Integer.getInteger("seed", 1) + play);
            requests += clients.stream().mapToLong(client -> client.responses).sum();
            StringBuilder line = new StringBuilder("play " + play);
            for (End end : End.values()) {
                List<KeepAliveClient> ended = clients.stream().filter(client -> client.end == end).toList();
                totals[end.ordinal()] += ended.size();
                line.append(' ').append(end).append('=').append(ended.size());
                if (end != End.BEFORE_REQUEST) {
                    line.append(ended.stream().map(client -> client.sentMillisBeforeEnd).toList());
                }
            }
            System.out.println(line);
        }
        System.out.println("total responses=" + requests + " " + End.BEFORE_REQUEST + "=" + totals[0] + " "
            + End.ORDERLY_WITHOUT_RESPONSE + "=" + totals[1] + " " + End.RESET_WITHOUT_RESPONSE + "="
            + totals[2]);
    }

    private static List<KeepAliveClient> play(int seed) throws Exception {
        List<KeepAliveClient> clients = new ArrayList<>();
        try (
            Peer node = new Peer(message -> message.startsWith("stats") ? "STAT inflight 0\r\nEND\r\n"
                : "VA 1 O" + message.replaceFirst("(?s).*? O(\\S+).*", "$1") + "\r\nv\r\n");
            Peer discovery = new Peer(
                message -> "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            Platform platform = new Platform()) {
            String configuration = ScriptedPeers
                .start(discovery.port, 512, ScriptedPeers.list(1, true,
                    ScriptedPeers.target("s-0", "m1", node.port, "active", 0)))
                .replace("\"sloTimeUs\":8000000",
                    "\"sloTimeUs\":8000000,\"statementTimeoutUs\":" + 1_000 * LONGEST_TIMEOUT_MILLIS);
            Proxy proxy = platform.ready(configuration, Platform.fromClasses());
            for (int i = 0; i < Integer.getInteger("clients", 40); i++) {
                KeepAliveClient client = new KeepAliveClient(i, platform.port, new Random(1_000L * seed + i));
                client.setDaemon(true);
                client.start();
                clients.add(client);
            }
            Thread.sleep(LOAD_MILLIS);
            long signalledAt = System.nanoTime();
            proxy.terminate();
            while (proxy.alive() && System.nanoTime() - signalledAt < TimeUnit.MILLISECONDS
                .toNanos(EARLIEST_KILL_MILLIS)) {
                Thread.sleep(1);
            }
            System.out.print(proxy.alive() ? "killed " : "");
            proxy.kill();
            for (KeepAliveClient client : clients) {
                client.join(LONGEST_TIMEOUT_MILLIS);
            }
        }
        return clients;
    }
}
