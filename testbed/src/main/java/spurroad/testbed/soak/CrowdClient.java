package spurroad.testbed.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/** One client of a {@link Crowd}. It never blocks, and connects anew once its connection is closed. */
final class CrowdClient {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** A small receive buffer, so that a slow reader holds up the proxy rather than the system. */
    private static final int RECEIVE_BUFFER_BYTES = 16_384;

    private final int port;
    private final int number;
    private final CrowdBehavior behavior;
    private final ByteBuffer received = ByteBuffer.allocate(RECEIVE_BUFFER_BYTES);
    private final Deque<ByteBuffer> unsent = new ArrayDeque<>();
    private SocketChannel channel;
    private long nextTurnNanos;
    private int connections;
    private int commandsSent; // on the present connection

    CrowdClient(int port, int number, CrowdBehavior behavior) {
        this.port = port;
        this.number = number;
        this.behavior = behavior;
    }

    /** Returns how often the client has connected. */
    int connections() {
        return connections;
    }

    /** Connects, sends or reads, if the client's next turn has come. */
    void takeTurn(long nowNanos) {
        if (nowNanos < nextTurnNanos) {
            return;
        }
        nextTurnNanos = nowNanos + behavior.pace.turnMs() * NANOS_PER_MILLI;
        try {
            if (channel == null) {
                connect();
            } else if (channel.finishConnect()) {
                send();
                receive();
            }
        } catch (IOException e) {
            close(); // refused, or closed by the proxy; the next turn connects anew
        }
    }

    private void connect() throws IOException {
        if (behavior == CrowdBehavior.LEAVES && connections > 0) {
            return;
        }
        connections++;
        commandsSent = 0;
        unsent.clear();
        channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
        channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    private void send() throws IOException {
        if (behavior == CrowdBehavior.LEAVES) {
            close();
            return;
        }
        int allowed = behavior.pace.sentBytes();
        while (allowed > 0 && hasUnsent()) {
            ByteBuffer next = unsent.peek();
            int count = channel.write(next.slice(next.position(), Math.min(allowed, next.remaining())));
            next.position(next.position() + count);
            allowed -= count;
            if (next.hasRemaining()) {
                return;
            }
            unsent.remove();
        }
    }

    private boolean hasUnsent() {
        if (unsent.isEmpty() && commandsSent < behavior.commands) {
            String name = port + "-" + number + "-" + connections + "-" + commandsSent++;
            unsent.addAll(behavior.command(name));
        }
        return !unsent.isEmpty();
    }

    private void receive() throws IOException {
        if (channel == null) {
            return;
        }
        int allowed = behavior.pace.receivedBytes();
        while (allowed > 0) {
            received.clear().limit(Math.min(allowed, received.capacity()));
            int count = channel.read(received);
            if (count < 0) {
                close();
            }
            if (count <= 0) {
                return;
            }
            allowed -= count;
        }
    }

    /** Closes the client's connection, if it has one. */
    void close() {
        if (channel != null) {
            Sockets.close(channel);
            channel = null;
        }
    }
}
