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

/** Accepting while accept fails temporarily, as Linux documents, and queue times of accepted connections. */
public class ListenerTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;
    private static final int MORE_THAN_ONE_ITERATION = 40; // clients; the listener accepts 16 per iteration
    private static final int QUEUED_CLIENTS = 5;
    private static final int CLIENTS_PER_SECOND = 50;
    private static final int NON_EMPTY_SECONDS = 2;
    // a client waits 5 / 50 s for those ahead of it, and its arrival is known to 0.1 s; doubled
    private static final long MAX_QUEUE_TIME_NANOS = 400_000_000L;
    private static final String ACCEPT_ERROR = "Too many open files in system";

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
    Object[][] failureCounts() {
        return new Object[][] {{0}, {1}, {2}, {3}, {10}};
    }

    /** Queued connections are accepted before the listener closes, however often accept fails. */
    @Test(dataProvider = "failureCounts")
    public void acceptsQueuedConnectionsBeforeCloseDespiteFailures(int failures) throws Exception {
        ServerSocketChannel socket = bindToFreePort();
        AtomicInteger failuresLeft = new AtomicInteger(failures);
        UnlimitedPermits permits = new UnlimitedPermits();
        Listener listener = new Listener(socket, () -> {
            if (failuresLeft.getAndDecrement() > 0) {
                throw new IOException(ACCEPT_ERROR);
            }
            return socket.accept();
        }, true, loop, permits, new AcceptCounter(), log);
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
            listener.start(() -> {});
            assertTrue(listener.closeWhenQuiet(CLOSE_TIMEOUT_MILLIS), "not closed");
            assertTrue(accepted.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                "closed without accepting " + client);
        }
        assertEquals(permits.acquired.get(), 1, "permits acquired");
    }

    /**
     * Guards against taking interrupted accepts for an empty queue: the connections in it would count as just
     * queued, and endpoints get more time than their clients have left.
     */
    @Test(timeOut = 60_000)
    public void countsWaitBeforeInterruptedAccepts() throws Exception {
        ServerSocketChannel socket = bindToFreePort();
        AtomicInteger interruptsLeft = new AtomicInteger(3);
        QueueTimeRecorder queueTimes = new QueueTimeRecorder();
        Listener listener = new Listener(socket,
            () -> interruptsLeft.getAndDecrement() > 0 ? null : socket.accept(), true, loop,
            new UnlimitedPermits(), queueTimes, log);
        try (Socket client = connect(socket)) {
            long waitMillis = 300;
            Thread.sleep(waitMillis);
            listener.start(() -> {});
            assertTrue(queueTimes.takeNext() >= TimeUnit.MILLISECONDS.toNanos(waitMillis), "from " + client);
        }
        assertTrue(listener.closeWhenQuiet(CLOSE_TIMEOUT_MILLIS));
    }

    /** After the last failure, connections are accepted again. */
    @Test
    public void acceptsAgainAfterFailures() throws Exception {
        ServerSocketChannel socket = bindToFreePort();
        AtomicInteger failuresLeft = new AtomicInteger(3);
        Listener listener = new Listener(socket, () -> {
            if (failuresLeft.getAndDecrement() > 0) {
                throw new IOException(ACCEPT_ERROR);
            }
            return socket.accept();
        }, true, loop, new UnlimitedPermits(), new AcceptCounter(), log);
        listener.start(() -> {});
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
            assertTrue(accepted.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS), "not accepted: " + client);
        }
        assertTrue(listener.closeWhenQuiet(CLOSE_TIMEOUT_MILLIS));
    }

    /** Records the longest time for which the first bytes of each connection can have been queued. */
    private final class QueueTimeRecorder implements Listener.AcceptHandler {
        private final BlockingQueue<Long> queueTimesNanos = new LinkedBlockingQueue<>();

        @Override
        public void onAccepted(Connection connection, boolean overflow) {
            connection.open(new Connection.Handler() {
                @Override
                public void onConnected() {}

                @Override
                public void onRead(ByteBuffer bytes) {
                    bytes.position(bytes.limit());
                    queueTimesNanos.add(loop.now() - connection.earliestArrivalNanos());
                }

                @Override
                public void onDrained() {}

                @Override
                public void onClosed() {}
            });
        }

        @Override
        public void onPermitsExhausted() {}

        private long takeNext() throws InterruptedException {
            Long next = queueTimesNanos.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(next, "no connection was accepted");
            return next;
        }
    }

    /** The queue time of connections on a socket that no process accepted from is unknown. */
    @Test
    public void assumesLongQueueTimeForConnectionsQueuedBeforeTakeover() throws Exception {
        ServerSocketChannel socket = bindToFreePort();
        QueueTimeRecorder queueTimes = new QueueTimeRecorder();
        CountDownLatch started = new CountDownLatch(1);
        try (Socket earlyClient = connect(socket)) {
            Listener listener = new Listener(socket, false, loop, new UnlimitedPermits(), queueTimes, log);
            listener.start(started::countDown);
            assertTrue(queueTimes.takeNext() > TimeUnit.HOURS.toNanos(1), "from " + earlyClient);
            assertTrue(started.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "not started");
            try (Socket lateClient = connect(socket)) {
                assertTrue(queueTimes.takeNext() < TimeUnit.SECONDS.toNanos(1), "from " + lateClient);
            }
            assertTrue(listener.closeWhenQuiet(CLOSE_TIMEOUT_MILLIS));
        }
        socket.close();
    }

    /**
     * Clients that connect after the listener started have not waited, however many earlier ones are not
     * accepted yet.
     *
     * <p>At a takeover the queue time of queued connections is unknown. They count as having waited longer
     * than any client does, and their requests are rejected. A listener that treats all connections like this
     * until it has found the queue empty once rejects later clients, too: under load the queue was not empty
     * for up to 244 ms after a hot restart, and up to 211 clients that connected in that time were rejected.
     * Without a free descriptor the queue never becomes empty. It is first in, first out, and the operating
     * system reports its length, so connections behind that many arrived later.
     */
    @Test
    public void doesNotCountClientConnectedAfterStartAsQueuedBefore() throws Exception {
        ServerSocketChannel socket = bindToFreePort();
        QueueTimeRecorder queueTimes = new QueueTimeRecorder();
        List<Socket> clients = new ArrayList<>();
        CountDownLatch started = new CountDownLatch(1);
        try {
            for (int i = 0; i < MORE_THAN_ONE_ITERATION; i++) {
                clients.add(connect(socket));
            }
            Listener listener = new Listener(socket, false, loop, new UnlimitedPermits(), queueTimes, log);
            listener.start(() -> {
                clients.add(connect(socket)); // on the event loop, which accepts more in its next iteration
                started.countDown();
            });
            assertTrue(started.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "not started");
            for (int i = 0; i < MORE_THAN_ONE_ITERATION; i++) {
                assertTrue(queueTimes.takeNext() > TimeUnit.HOURS.toNanos(1), "client " + i);
            }
            assertTrue(queueTimes.takeNext() < TimeUnit.SECONDS.toNanos(1),
                "client connected after the start");
            assertTrue(listener.closeWhenQuiet(CLOSE_TIMEOUT_MILLIS));
        } finally {
            for (Socket client : clients) {
                client.close();
            }
            socket.close();
        }
    }

    /**
     * Guards against the same fault if the queue never becomes empty because descriptors are scarce: clients
     * that have just connected don't count as queued since the queue was last empty.
     */
    @Test
    public void boundsQueueTimeOfNewClientsWhileQueueIsNeverEmpty() throws Exception {
        ServerSocketChannel socket = bindToFreePort();
        QueueTimeRecorder queueTimes = new QueueTimeRecorder();
        Semaphore available = new Semaphore(0);
        List<Socket> clients = new ArrayList<>();
        CountDownLatch started = new CountDownLatch(1);
        try {
            for (int i = 0; i < QUEUED_CLIENTS; i++) {
                clients.add(connect(socket));
            }
            Listener listener = new Listener(socket, false, loop, new SemaphorePermits(available), queueTimes,
                log);
            listener.start(started::countDown);
            assertTrue(started.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "not started");
            long longQueuedCount = 0;
            for (int i = 0; i < NON_EMPTY_SECONDS * CLIENTS_PER_SECOND; i++) {
                clients.add(connect(socket));
                available.release();
                longQueuedCount += queueTimes.takeNext() > MAX_QUEUE_TIME_NANOS ? 1 : 0;
                Thread.sleep(1_000 / CLIENTS_PER_SECOND);
            }
            assertEquals(longQueuedCount, QUEUED_CLIENTS, "clients connected before the start");
            listener.stopAccepting();
        } finally {
            for (Socket client : clients) {
                client.close();
            }
            socket.close();
        }
    }

    /** Grants the permits of a semaphore, and no overflow permits. */
    private record SemaphorePermits(Semaphore available) implements Listener.ConnectionPermits {
        @Override
        public boolean tryAcquire() {
            return available.tryAcquire();
        }

        @Override
        public boolean tryAcquireOverflow() {
            return false;
        }

        @Override
        public void release(boolean overflow) {}
    }

    /** Connects a client, which sends one byte. */
    private static Socket connect(ServerSocketChannel listeningSocket) {
        try {
            Socket client = new Socket(InetAddress.getLoopbackAddress(),
                listeningSocket.socket().getLocalPort());
            client.getOutputStream().write(1);
            return client;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static ServerSocketChannel bindToFreePort() throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open();
        socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        return socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }
}
