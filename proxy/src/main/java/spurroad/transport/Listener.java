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
 * <p>If there is no permit, the handler is asked to free one. If it can't, a few connections get overflow
 * permits, with which they are answered and closed; a client left in the accept queue would get no response.
 *
 * <p>The methods may be called from any thread. The handler is called on the event loop thread.
 */
public final class Listener {
    /** Receives accepted connections, on the event loop thread. */
    public interface AcceptHandler {
        /** A connection was accepted. One with an overflow permit must be closed soon. */
        void onAccepted(Connection connection, boolean overflow);

        /** A connection is waiting for a permit. The handler may close others to free one. */
        void onPermitsExhausted();
    }

    /** Permits for the descriptors of accepted connections. Event loop thread only. */
    public interface ConnectionPermits {
        /** Takes a permit. Returns false if none is available. */
        boolean tryAcquire();

        /** Takes an overflow permit. Returns false if none is available. */
        boolean tryAcquireOverflow();

        /** Releases a regular permit or an overflow permit. */
        void release(boolean overflow);
    }

    /** Accepts the next connection. Returns null if none is queued. */
    interface Acceptor {
        SocketChannel accept() throws IOException;
    }

    private enum Permit { REGULAR, OVERFLOW, NONE }

    /** QUIET is DRAINING without an accepted connection or a failed accept since the last check. */
    private enum State {
        ACCEPTING, DRAINING, QUIET, CLOSED
    }

    private static final int ACCEPT_BACKLOG = 1024; // connections; fits a connection burst after a restart
    // keeps a connection burst from delaying the open connections
    private static final int MAX_ACCEPTS_PER_ITERATION = 16;
    // longer than it takes to close an idle connection
    private static final long PERMIT_RETRY_NANOS = 2_000_000L;
    // the next accept may fail immediately, too: the delay doubles up to the maximum
    private static final long MIN_BACKOFF_NANOS = 1_000_000L;
    private static final long MAX_BACKOFF_NANOS = 20_000_000L;
    private static final int MAX_BACKOFF_DOUBLINGS = 8;
    private static final int MAX_INTERRUPTED_ACCEPTS = 8; // in a row
    // assumed for connections of a socket that no process accepted from: longer than any client waits
    private static final long ASSUMED_QUEUE_TIME_NANOS = 2 * 3_600_000_000_000L;
    private static final long QUIET_PERIOD_NANOS = 20_000_000L; // time without a connection before the close
    // Interval between samples of the length of an accept queue that does not become empty. A connection that
    // has just arrived counts as queued for up to that long.
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

    // event loop thread only
    private SelectionKey key;
    private State state = State.ACCEPTING;
    private boolean isAwaitingPermit;
    private int consecutiveFailures;
    private AcceptQueueTracker queueTracker;
    private long queueSampledNanos;

    /**
     * Binds a new socket, which the listener owns and closes.
     *
     * @throws IOException if the address can't be bound, even after some retries
     */
    public Listener(InetSocketAddress address, EventLoop loop, ConnectionPermits permits,
                    AcceptHandler handler, EventLog log)
        throws IOException {
        this(bind(address), loop, permits, handler, log);
    }

    /**
     * Takes over a listening socket that other processes may continue to use. It is never closed.
     *
     * @param inherited the listening socket that this process inherited at its start
     * @param shared whether another process accepts from it now; if not, connections may have been queued for
     *     an unknown time
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

    /** Accepts connections with an acceptor other than the socket's own; for tests of accept failures. */
    Listener(ServerSocketChannel socket, Acceptor acceptor, boolean ownsSocket, EventLoop loop,
             ConnectionPermits permits, AcceptHandler handler, EventLog log) {
        this.socket = socket;
        this.acceptor = acceptor;
        this.ownsSocket = ownsSocket;
        this.loop = loop;
        this.permits = permits;
        this.handler = handler;
        this.log = log;
        queueTracker = new AcceptQueueTracker(loop.now()); // a socket just bound has queued nothing earlier
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

    /** Returns the local port that the socket is bound to. */
    public int port() {
        return socket.socket().getLocalPort();
    }

    /** Starts accepting, then runs a task on the event loop thread. */
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
        sampleQueueLength(); // connections that arrive from now on have not waited as long as those before
        acceptQueued(); // before onStarted announces the listener: later connections were not queued
        onStarted.run();
    }

    // ---- accepting

    private void acceptQueued() {
        if (queueTracker.wasEmpty()) {
            queueSampledNanos = loop.now(); // the length is sampled only if it stays non-empty
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

    /** Takes a permit; an overflow permit only if the handler has freed none since it was last asked. */
    private Permit acquirePermit() {
        if (permits.tryAcquire()) {
            return Permit.REGULAR;
        }
        handler.onPermitsExhausted();
        if (isAwaitingPermit && permits.tryAcquireOverflow()) {
            return Permit.OVERFLOW;
        }
        isAwaitingPermit = true; // connections that the handler closed release theirs after a select
        return Permit.NONE;
    }

    private boolean acceptOne(boolean overflow) {
        try {
            SocketChannel accepted = acceptRetryingInterrupts();
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
            onActivity(); // a connection may be queued nevertheless
            log.warn("accept failed", "error=" + e.getMessage());
            pauseAccepting(nextBackoffNanos());
            return false;
        }
    }

    /** Accepts, and retries while there is none, as an accept that a signal interrupts also returns null. */
    private SocketChannel acceptRetryingInterrupts() throws IOException {
        SocketChannel accepted = acceptor.accept();
        for (int i = 0; accepted == null && i < MAX_INTERRUPTED_ACCEPTS; i++) {
            accepted = acceptor.accept();
        }
        return accepted;
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
     * Accepts all queued connections, then closes. Returns whether this has completed within the timeout.
     *
     * @throws InterruptedException if the calling thread is interrupted while it waits
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

    /** Stops immediately and leaves queued connections to the processes that share the socket. */
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

    /** Closes at the second consecutive check that finds no connection: the accept queue is empty then. */
    private void closeIfQuiet() {
        if (key == null) { // not registered yet
            loop.schedule(QUIET_PERIOD_NANOS, this::closeIfQuiet);
            return;
        }
        if (!key.isValid()) {
            return; // closed by stopAccepting in the meantime
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
