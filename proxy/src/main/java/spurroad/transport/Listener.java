package spurroad.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Owns the listening socket and accepts connections, each only with a permit for its descriptor.
 *
 * <p>Where there is no permit, the handler is asked to free one. If it can't, a few connections get overflow
 * permits, with which they are answered and closed: a client in the system's accept queue would get no
 * response.
 *
 * <p>Its methods may be called from any thread; handlers run on the event loop thread.
 */
public final class Listener {
    /** Receives accepted connections, on the event loop thread. */
    public interface AcceptHandler {
        /** A connection was accepted; one with an overflow permit is to be closed soon. */
        void onAccepted(Connection connection, boolean overflow);

        /** A connection waits for a permit; the handler may close others to free one. */
        void onPermitsExhausted();
    }

    /** The permits for descriptors of accepted connections. Event loop thread only. */
    public interface ConnectionPermits {
        /** Takes a permit, if there is one. */
        boolean tryAcquire();

        /** Takes an overflow permit, if there is one. */
        boolean tryAcquireOverflow();

        /** Releases a permit of either kind. */
        void release(boolean overflow);
    }

    /** Accepts the next connection; returns null where none is queued. */
    interface Acceptor {
        SocketChannel accept() throws IOException;
    }

    private enum Permit { REGULAR, OVERFLOW, NONE }

    /** QUIET is DRAINING with no connection accepted, and no accept failed, since the last check. */
    private enum State {
        ACCEPTING, DRAINING, QUIET, CLOSED
    }

    private static final int ACCEPT_BACKLOG = 1024; // connections; a burst of clients after a restart
    // so that open connections do not wait for a crowd that connects
    private static final int MAX_ACCEPTS_PER_ITERATION = 16;
    // an idle connection closes in less
    private static final long PERMIT_RETRY_NANOS = 2_000_000L;
    // a failed accept may fail again at once: the delay doubles up to the maximum
    private static final long MIN_BACKOFF_NANOS = 1_000_000L;
    private static final long MAX_BACKOFF_NANOS = 20_000_000L;
    private static final int MAX_BACKOFF_DOUBLINGS = 8;
    // a socket that nobody accepted from: longer than any client waits
    private static final long ASSUMED_QUEUE_TIME_NANOS = 2 * 3_600_000_000_000L;
    private static final long QUIET_PERIOD_NANOS = 20_000_000L; // without a connection, before the close
    // between two looks at a queue that does not get empty: what has just come counts as queued for that long
    private static final long QUEUE_SAMPLE_INTERVAL_NANOS = 100_000_000L;

    private final ServerSocketChannel socket;
    private final Acceptor acceptor;
    private final boolean ownsSocket;
    private final EventLoop loop;
    private final ConnectionPermits permits;
    private final AcceptHandler handler;
    private final EventLog log;
    private final AcceptQueueLength queueLength = new AcceptQueueLength();
    private final CountDownLatch closed = new CountDownLatch(1);

    // the event loop thread's own
    private SelectionKey key;
    private State state = State.ACCEPTING;
    private boolean isAwaitingPermit;
    private int consecutiveFailures;
    private AcceptQueueTracker queueTracker;
    private long queueSampledNanos;

    /**
     * Binds a socket of its own, which it closes at the end.
     *
     * @throws IOException if the address can't be bound, even after some retries
     */
    public Listener(InetSocketAddress address, EventLoop loop, ConnectionPermits permits,
                    AcceptHandler handler, EventLog log)
        throws IOException {
        this(bind(address), loop, permits, handler, log);
    }

    /**
     * Takes over a listening socket that other processes may go on using: it is never closed.
     *
     * @param inherited the socket that the process was started with
     * @param shared whether another process accepts from it now; else connections may have been queued for an
     *     unknown time
     */
    public Listener(ServerSocketChannel inherited, boolean shared, EventLoop loop, ConnectionPermits permits,
                    AcceptHandler handler, EventLog log) {
        this(inherited, inherited::accept, false, loop, permits, handler, log);
        queueTracker = new AcceptQueueTracker(loop.now() - (shared ? 0 : ASSUMED_QUEUE_TIME_NANOS));
    }

    private Listener(ServerSocketChannel bound, EventLoop loop, ConnectionPermits permits,
                     AcceptHandler handler, EventLog log) {
        this(bound, bound::accept, true, loop, permits, handler, log);
    }

    /** Accepts connections by another way than the socket's own; for tests of accepts that fail. */
    Listener(ServerSocketChannel socket, Acceptor acceptor, boolean ownsSocket, EventLoop loop,
             ConnectionPermits permits, AcceptHandler handler, EventLog log) {
        this.socket = socket;
        this.acceptor = acceptor;
        this.ownsSocket = ownsSocket;
        this.loop = loop;
        this.permits = permits;
        this.handler = handler;
        this.log = log;
        queueTracker = new AcceptQueueTracker(loop.now()); // the system queues connections from now on
    }

    private static ServerSocketChannel bind(InetSocketAddress address) throws IOException {
        return StartupRetry.openWithRetry(() -> bindOnce(address));
    }

    private static ServerSocketChannel bindOnce(InetSocketAddress address) throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open();
        try {
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            return socket.bind(address, ACCEPT_BACKLOG);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Returns the local port. */
    public int port() {
        return socket.socket().getLocalPort();
    }

    /** Starts to accept, and then runs a task on the event loop thread. */
    public void start(Runnable onStarted) {
        loop.execute(() -> register(onStarted));
    }

    private void register(Runnable onStarted) {
        try {
            key = loop.register(socket, SelectionKey.OP_ACCEPT, operations -> acceptQueued());
        } catch (IOException e) {
            log.warn("listening socket not registered, retrying", "error=" + e.getMessage());
            loop.schedule(MAX_BACKOFF_NANOS, () -> register(onStarted));
            return;
        }
        sampleQueueLength(); // who comes from now on has not waited behind those of before
        acceptQueued(); // before it is known to accept: connections that follow were not queued
        onStarted.run();
    }

    // ---- accepting

    private void acceptQueued() {
        if (queueTracker.wasEmpty()) {
            queueSampledNanos = loop.now(); // it is looked at only where it does not get empty again
        } else if (loop.now() - queueSampledNanos >= QUEUE_SAMPLE_INTERVAL_NANOS) {
            sampleQueueLength();
        }
        queueTracker.onReady(loop.earliestArrivalNanos());
        for (int i = 0; i < MAX_ACCEPTS_PER_ITERATION && key.isValid(); i++) {
            Permit permit = acquirePermit();
            if (permit == Permit.NONE) {
                pauseAccepting(PERMIT_RETRY_NANOS);
                return;
            }
            if (!acceptOne(permit == Permit.OVERFLOW)) {
                return;
            }
            isAwaitingPermit = false;
            onActivity();
        }
    }

    private void sampleQueueLength() {
        queueSampledNanos = loop.now();
        queueTracker.onLength(queueLength.read(port()), queueSampledNanos);
    }

    /** Takes a permit; one for overflow only if the handler freed none since the last time it was asked. */
    private Permit acquirePermit() {
        if (permits.tryAcquire()) {
            return Permit.REGULAR;
        }
        handler.onPermitsExhausted();
        if (isAwaitingPermit && permits.tryAcquireOverflow()) {
            return Permit.OVERFLOW;
        }
        isAwaitingPermit = true; // connections that the handler has closed give theirs back after a select
        return Permit.NONE;
    }

    private boolean acceptOne(boolean overflow) {
        try {
            SocketChannel accepted = acceptor.accept();
            accepted = accepted == null ? acceptor.accept() : accepted; // a signal looks like an empty queue
            if (accepted == null) {
                permits.release(overflow);
                queueTracker.onEmpty();
                return false;
            }
            consecutiveFailures = 0;
            Connection connection = Connection.accepted(loop, accepted, queueTracker.queuedSinceNanos(),
                () -> permits.release(overflow));
            queueTracker.onAccepted();
            handler.onAccepted(connection, overflow);
            return true;
        } catch (IOException e) {
            permits.release(overflow);
            onActivity(); // a connection may be queued all the same
            log.warn("accept failed", "error=" + e.getMessage());
            pauseAccepting(nextBackoffNanos());
            return false;
        }
    }

    private long nextBackoffNanos() {
        int doublings = Math.min(consecutiveFailures++, MAX_BACKOFF_DOUBLINGS);
        return Math.min(MAX_BACKOFF_NANOS, MIN_BACKOFF_NANOS << doublings);
    }

    private void pauseAccepting(long nanos) {
        if (key.isValid() && key.interestOps() != 0) {
            key.interestOps(0);
            loop.schedule(nanos, this::resumeAccepting);
        }
    }

    private void resumeAccepting() {
        if (key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    // ---- closing

    /**
     * Accepts what the system has queued, then closes; returns whether it has done so within the time.
     *
     * @throws InterruptedException if the calling thread is interrupted meanwhile
     */
    public boolean closeWhenQuiet(long timeoutMillis) throws InterruptedException {
        loop.execute(() -> {
            if (state == State.ACCEPTING) {
                state = State.DRAINING;
                closeIfQuiet();
            }
        });
        return closed.await(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    /** Stops at once, and leaves queued connections to the processes that share the socket. */
    public void stopAccepting() {
        loop.execute(this::close);
    }

    private void close() {
        state = State.CLOSED;
        if (key != null) {
            key.cancel();
        }
        try {
            if (ownsSocket) {
                socket.close();
            }
        } catch (IOException e) {
            log.warn("listening socket not closed", "error=" + e.getMessage());
        }
        loop.runAfterSelect(closed::countDown);
    }

    private void onActivity() {
        if (state == State.QUIET) {
            state = State.DRAINING;
        }
    }

    /** Closes at the second check in a row that finds nothing: then the accept queue was emptied. */
    private void closeIfQuiet() {
        if (key == null) { // not registered yet
            loop.schedule(QUIET_PERIOD_NANOS, this::closeIfQuiet);
            return;
        }
        if (!key.isValid()) {
            return; // closed by stopAccepting meanwhile
        }
        boolean wasQuiet = state == State.QUIET;
        state = State.QUIET;
        acceptQueued();
        if (wasQuiet && state == State.QUIET && !isAwaitingPermit) {
            close();
        } else {
            loop.schedule(QUIET_PERIOD_NANOS, this::closeIfQuiet);
        }
    }
}
