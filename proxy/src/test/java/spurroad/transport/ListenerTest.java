package spurroad.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A listening socket whose accept fails for a while, as Linux documents it may. */
public class ListenerTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;
    private static final int MORE_THAN_AN_ITERATION = 40; // the listener accepts 16 in one
    private static final int QUEUED_CLIENTS = 5;
    private static final int CLIENTS_PER_SECOND = 50;
    private static final int SECONDS_NEVER_EMPTY = 2;
    // the clients before one wait for 5 / 50 s, and its place in the queue is known to 0.1 s; doubled
    private static final long MAX_QUEUE_TIME_NANOS = 400_000_000L;
    private static final String CAUSE = "Too many open files in system";

    private final EventLog log = new EventLog();
    private EventLoop loop;
    private final Semaphore accepted = new Semaphore(0);

    private final class AcceptCounter implements Listener.AcceptHandler {
        @Override
        public void onAccepted(Connection connection, boolean overflow) {
            accepted.release();
        }

        @Override
        public void onPermitsExhausted() {}
    }

    private static final class UnlimitedPermits implements Listener.ConnectionPermits {
        private final AtomicInteger acquired = new AtomicInteger();

        @Override
        public boolean tryAcquire() {
            acquired.incrementAndGet();
            return true;
        }

        @Override
        public boolean tryAcquireOverflow() {
            return false;
        }

        @Override
        public void release(boolean overflow) {
            acquired.decrementAndGet();
        }
    }

    @BeforeMethod
    void startLoop() {
        loop = new EventLoop(log, new Clock());
        new Threads(log).start("loop", loop);
        accepted.drainPermits();
    }

    @AfterMethod
    void endLoop() {
        loop.shutdown();
    }

    @DataProvider
    Object[][] failures() {
        return new Object[][] {{0}, {1}, {2}, {3}, {10}};
    }

    /** Connections that the system has queued are accepted before the close, however often accept fails. */
    @Test(dataProvider = "failures")
    public void closesOnlyAfterConnectionsThatCouldNotBeAcceptedYet(int failures) throws Exception {
        ServerSocketChannel socket = bound();
        AtomicInteger failuresLeft = new AtomicInteger(failures);
        UnlimitedPermits permits = new UnlimitedPermits();
        Listener listener = new Listener(socket, () -> {
            if (failuresLeft.getAndDecrement() > 0) {
                throw new IOException(CAUSE);
            }
            return socket.accept();
        }, true, loop, permits, new AcceptCounter(), log);
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
            listener.start(() -> {});
            assertTrue(listener.closeWhenQuiet(CLOSE_TIMEOUT_MILLIS), "not closed");
            assertTrue(accepted.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                "closed over a connection of " + client);
        }
        assertEquals(permits.acquired.get(), 1, "permits acquired");
    }

    /** After the last failure, connections are accepted as before. */
    @Test
    public void acceptsAgainAfterFailures() throws Exception {
        ServerSocketChannel socket = bound();
        AtomicInteger failuresLeft = new AtomicInteger(3);
        Listener listener = new Listener(socket, () -> {
            if (failuresLeft.getAndDecrement() > 0) {
                throw new IOException(CAUSE);
            }
            return socket.accept();
        }, true, loop, new UnlimitedPermits(), new AcceptCounter(), log);
        listener.start(() -> {});
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
            assertTrue(accepted.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS), "never accepted " + client);
        }
        assertTrue(listener.closeWhenQuiet(CLOSE_TIMEOUT_MILLIS));
    }

    /** Records for how long the bytes of each connection may have been queued before it was accepted. */
    private final class QueueTimes implements Listener.AcceptHandler {
        private final BlockingQueue<Long> queuedNanos = new LinkedBlockingQueue<>();

        @Override
        public void onAccepted(Connection connection, boolean overflow) {
            connection.open(new Connection.Handler() {
                @Override
                public void onConnected() {}

                @Override
                public void onRead(ByteBuffer bytes) {
                    bytes.position(bytes.limit());
                    queuedNanos.add(loop.now() - connection.earliestArrivalNanos());
                }

                @Override
                public void onDrained() {}

                @Override
                public void onClosed() {}
            });
        }

        @Override
        public void onPermitsExhausted() {}

        private long next() throws InterruptedException {
            Long next = queuedNanos.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(next, "no connection was accepted");
            return next;
        }
    }

    /** Nothing tells for how long connections were queued on a socket from which nobody accepted. */
    @Test
    public void connectionsQueuedBeforeATakeoverMayHaveWaitedForLong() throws Exception {
        ServerSocketChannel socket = bound();
        QueueTimes queueTimes = new QueueTimes();
        CountDownLatch started = new CountDownLatch(1);
        try (Socket before = connect(socket)) {
            Listener listener = new Listener(socket, false, loop, new UnlimitedPermits(), queueTimes, log);
            listener.start(started::countDown);
            assertTrue(queueTimes.next() > TimeUnit.HOURS.toNanos(1), "from " + before);
            assertTrue(started.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "not started");
            try (Socket after = connect(socket)) {
                assertTrue(queueTimes.next() < TimeUnit.SECONDS.toNanos(1), "from " + after);
            }
            assertTrue(listener.closeWhenQuiet(CLOSE_TIMEOUT_MILLIS));
        }
        socket.close();
    }

    /**
     * Who comes once it accepts has not waited, however many came before it and are not accepted yet.
     *
     * <p>At a takeover nothing tells for how long connections were queued, so they count as having waited for
     * longer than any client does, and their requests are refused. The listener counted so until it had found
     * the queue empty once. Under load it was not empty for up to 244 ms after a hot restart, and up to 211
     * clients that came in that time were refused; without a free descriptor it never is. The queue is first
     * in, first out, and the system tells its length: who comes behind so many has come since.
     */
    @Test
    public void whoComesOnceItAcceptsHasNotWaitedBehindMany() throws Exception {
        ServerSocketChannel socket = bound();
        QueueTimes queueTimes = new QueueTimes();
        List<Socket> clients = new ArrayList<>();
        CountDownLatch started = new CountDownLatch(1);
        try {
            for (int i = 0; i < MORE_THAN_AN_ITERATION; i++) {
                clients.add(connect(socket));
            }
            Listener listener = new Listener(socket, false, loop, new UnlimitedPermits(), queueTimes, log);
            listener.start(() -> {
                clients.add(connect(socket)); // on the loop, which accepts more in its next iteration
                started.countDown();
            });
            assertTrue(started.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "not started");
            for (int i = 0; i < MORE_THAN_AN_ITERATION; i++) {
                assertTrue(queueTimes.next() > TimeUnit.HOURS.toNanos(1), "client " + i);
            }
            assertTrue(queueTimes.next() < TimeUnit.SECONDS.toNanos(1), "the one that came after them");
            assertTrue(listener.closeWhenQuiet(CLOSE_TIMEOUT_MILLIS));
        } finally {
            for (Socket client : clients) {
                client.close();
            }
            socket.close();
        }
    }

    /**
     * The same where the queue is never empty, as there is no descriptor for all who come: clients that have
     * just come don't count as queued since the queue was last empty.
     */
    @Test
    public void whoComesToAQueueThatIsNeverEmptyHasNotWaitedSinceItWas() throws Exception {
        ServerSocketChannel socket = bound();
        QueueTimes queueTimes = new QueueTimes();
        Semaphore released = new Semaphore(0);
        List<Socket> clients = new ArrayList<>();
        CountDownLatch started = new CountDownLatch(1);
        try {
            for (int i = 0; i < QUEUED_CLIENTS; i++) {
                clients.add(connect(socket));
            }
            Listener listener = new Listener(socket, false, loop, new ScarcePermits(released), queueTimes,
                log);
            listener.start(started::countDown);
            assertTrue(started.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "not started");
            long queuedForLong = 0;
            for (int i = 0; i < SECONDS_NEVER_EMPTY * CLIENTS_PER_SECOND; i++) {
                clients.add(connect(socket));
                released.release();
                queuedForLong += queueTimes.next() > MAX_QUEUE_TIME_NANOS ? 1 : 0;
                Thread.sleep(1_000 / CLIENTS_PER_SECOND);
            }
            assertEquals(queuedForLong, QUEUED_CLIENTS, "those who came before it accepted");
            listener.stopAccepting();
        } finally {
            for (Socket client : clients) {
                client.close();
            }
            socket.close();
        }
    }

    /** A permit for each that is released, and none for overflow. */
    private record ScarcePermits(Semaphore released) implements Listener.ConnectionPermits {
        @Override
        public boolean tryAcquire() {
            return released.tryAcquire();
        }

        @Override
        public boolean tryAcquireOverflow() {
            return false;
        }

        @Override
        public void release(boolean overflow) {}
    }

    /** A client that has connected and sent a byte. */
    private static Socket connect(ServerSocketChannel of) {
        try {
            Socket client = new Socket(InetAddress.getLoopbackAddress(), of.socket().getLocalPort());
            client.getOutputStream().write(1);
            return client;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static ServerSocketChannel bound() throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open();
        socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        return socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }
}
