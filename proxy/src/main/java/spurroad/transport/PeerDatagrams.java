package spurroad.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Exchanges short messages with the other proxies of a deployment, one UDP datagram per message, without any
 * delivery guarantee. Datagrams from other addresses and oversized datagrams are dropped.
 *
 * <p>Sending is safe from any thread and never blocks. Messages are received on the thread that calls
 * {@link #run}.
 */
public final class PeerDatagrams implements Runnable {
    private static final int MAX_MESSAGE_BYTES = 256;
    private static final long REOPEN_DELAY_MILLIS = 500; // short: a hot restart takes seconds

    /** Opens an unbound datagram channel. */
    interface ChannelOpener {
        DatagramChannel open() throws IOException;
    }

    private final EventLog log;
    private final ChannelOpener channelOpener;
    private final List<InetSocketAddress> proxyAddresses;
    private final Set<SocketAddress> peerAddresses;
    private final int ownIndex;
    private final Consumer<byte[]> onMessage;
    private volatile DatagramChannel channel; // null while it is not bound

    /**
     * Creates an instance without a socket, which {@link #run} opens.
     *
     * @param proxyAddresses the address of each proxy, by proxy index
     * @param ownIndex the index of this proxy
     * @param onMessage receives each message, on the thread that calls {@link #run}
     */
    public PeerDatagrams(List<InetSocketAddress> proxyAddresses, int ownIndex, EventLog log,
                         Consumer<byte[]> onMessage) {
        this(proxyAddresses, ownIndex, log, onMessage,
            () -> DatagramChannel.open(StandardProtocolFamily.INET));
    }

    /** Opens channels with a given opener; for tests of system calls that fail. */
    PeerDatagrams(List<InetSocketAddress> proxyAddresses, int ownIndex, EventLog log,
                  Consumer<byte[]> onMessage, ChannelOpener channelOpener) {
        this.log = log;
        this.channelOpener = channelOpener;
        this.proxyAddresses = proxyAddresses;
        this.ownIndex = ownIndex;
        this.onMessage = onMessage;
        peerAddresses = Set.copyOf(proxyAddresses);
    }

    /** Sends a message to all other proxies. */
    public void sendAll(byte[] message) {
        for (int i = 0; i < proxyAddresses.size(); i++) {
            send(i, message);
        }
    }

    /**
     * Sends a message to a proxy, given by its index. Does nothing if that is this proxy, or while the socket
     * is closed.
     */
    public void send(int proxyIndex, byte[] message) {
        DatagramChannel boundChannel = channel;
        try {
            if (proxyIndex != ownIndex && boundChannel != null) {
                boundChannel.send(ByteBuffer.wrap(message), proxyAddresses.get(proxyIndex));
            }
        } catch (IOException e) {
            log.warn("peer message not sent",
                "peer=" + proxyAddresses.get(proxyIndex) + " error=" + e.getMessage());
        }
    }

    /**
     * Receives messages until its thread is interrupted. During a hot restart the previous process still has
     * the address bound, so binding is retried until it succeeds. A failed system call loses the messages
     * until the socket is reopened, and nothing else.
     */
    @Override
    public void run() {
        while (true) {
            try {
                receiveUntilFailure();
            } catch (IOException e) {
                log.warn("peer socket failed, reopening",
                    "address=" + proxyAddresses.get(ownIndex) + " error=" + e);
            }
            try {
                Thread.sleep(REOPEN_DELAY_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void receiveUntilFailure() throws IOException {
        try (DatagramChannel newChannel = channelOpener.open(); Selector selector = Selector.open()) {
            newChannel.bind(proxyAddresses.get(ownIndex)).configureBlocking(false);
            newChannel.register(selector, SelectionKey.OP_READ);
            channel = newChannel;
            // one byte more than the maximum, to detect oversized messages
            ByteBuffer buffer = ByteBuffer.allocate(MAX_MESSAGE_BYTES + 1);
            while (newChannel.isOpen()) {
                selector.select();
                selector.selectedKeys().clear();
                receiveQueued(buffer);
            }
        } finally {
            channel = null;
        }
    }

    private void receiveQueued(ByteBuffer buffer) throws IOException {
        SocketAddress sender;
        while ((sender = channel.receive(buffer.clear())) != null) {
            if (peerAddresses.contains(sender) && buffer.position() <= MAX_MESSAGE_BYTES) {
                byte[] message = new byte[buffer.flip().remaining()];
                buffer.get(message);
                onMessage.accept(message);
            }
        }
    }
}
