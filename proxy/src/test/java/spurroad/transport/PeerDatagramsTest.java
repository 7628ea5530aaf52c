package spurroad.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.channels.DatagramChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Exchange of messages between proxies while system calls fail. */
public class PeerDatagramsTest {
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final long RETRY_INTERVAL_MILLIS = 50;

    private static InetSocketAddress freeAddress() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    @Test
    public void reopensSocketAfterFailure() throws Exception {
        List<InetSocketAddress> proxies = List.of(freeAddress(), freeAddress());
        EventLog log = new EventLog();
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        BlockingQueue<DatagramChannel> openedChannels = new LinkedBlockingQueue<>();
        AtomicInteger failuresLeft = new AtomicInteger(2);
        PeerDatagrams first = new PeerDatagrams(proxies, 0, log,
            bytes -> received.add(new String(bytes, StandardCharsets.ISO_8859_1)), () -> {
                if (failuresLeft.getAndDecrement() > 0) {
                    throw new IOException("No buffer space available");
                }
                DatagramChannel channel = DatagramChannel.open(StandardProtocolFamily.INET);
                openedChannels.add(channel);
                return channel;
            });
        PeerDatagrams second = new PeerDatagrams(proxies, 1, log, bytes -> {});
        Threads threads = new Threads(log);
        threads.start("first", first);
        threads.start("second", second);
        assertTrue(isReceived(second, "a", received), "nothing received after two failed opens");
        openedChannels.take().close(); // has the effect of a failed receive
        received.clear();
        assertTrue(isReceived(second, "b", received), "nothing received after a failed receive");
        assertEquals(openedChannels.size(), 1);
    }

    private static boolean isReceived(PeerDatagrams sender, String text, BlockingQueue<String> received)
        throws InterruptedException {
        for (long waitedMillis = 0; waitedMillis < TIMEOUT_MILLIS; waitedMillis += RETRY_INTERVAL_MILLIS) {
            sender.send(0, text.getBytes(StandardCharsets.ISO_8859_1));
            if (text.equals(received.poll(RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS))) {
                return true;
            }
        }
        return false;
    }
}
