package spurroad.program;

import spurroad.program.restart.HotRestart;
import spurroad.routing.ClientConnections;
import spurroad.transport.EventLog;
import spurroad.transport.Listener;

/**
 * Shuts a proxy down gracefully, so that each accepted request gets its response before the process may be
 * killed.
 *
 * <p>During a rolling restart the next proxy may stop before this one is back. A proxy without a successor
 * therefore keeps accepting clients for a while, and keeps serving connected clients as long as their
 * requests can be answered in time. If a successor serves on the same listening socket, it takes new clients
 * at once.
 *
 * <p>The thread that calls {@link #run} waits until no client is connected.
 */
final class GracefulShutdown {
    // ns; load balancers in front of the proxy send new connections for up to 400 ms after the signal
    private static final long KEEP_ACCEPTING_NANOS = 500_000_000L;
    // ms; a listener without load accepts all queued clients within this time
    private static final long LISTENER_CLOSE_MILLIS = 200;
    // ns; longer client timeouts count as this long when the deployment platform determines the kill
    private static final long MAX_CLIENT_WAIT_NANOS = 3_000_000_000L;
    // ns; the platform kills the process 0.7 s after the client wait; 0.2 s are left for delays and the exit
    private static final long KILL_GRACE_NANOS = 500_000_000L;
    // ns; time left for the response to the last accepted request
    private static final long LAST_REQUEST_NANOS = 400_000_000L;
    // ns; a replacement process serves by then
    private static final long MAX_KEEP_SERVING_NANOS = 2_500_000_000L;
    // ns; longer than any client waits for a response
    private static final long MAX_CLIENT_CLOSE_NANOS = 10_000_000_000L;
    private static final long POLL_MILLIS = 5;

    private final ClientAcceptance acceptance;
    private final Listener listener;
    private final ClientConnections clients;
    private final HotRestart hotRestart;
    private final EventLog log;

    /**
     * Creates the shutdown of one proxy; {@link #run} carries it out.
     *
     * @param hotRestart reports a successor on the same listening socket; null if there can be none
     */
    GracefulShutdown(ClientAcceptance acceptance, Listener listener, ClientConnections clients,
                     HotRestart hotRestart, EventLog log) {
        this.acceptance = acceptance;
        this.listener = listener;
        this.clients = clients;
        this.hotRestart = hotRestart;
        this.log = log;
    }

    /** Shuts the proxy down; returns when no client is connected, or when closing has timed out. */
    void run() throws InterruptedException {
        log.info("graceful shutdown started", "clients=" + clients.count());
        acceptance.open(); // clients in the accept queue get their responses too
        long startedAt = System.nanoTime();
        long untilKilledNanos = untilKilledNanos();
        clients.failUnansweredAfter(untilKilledNanos);
        if (hotRestart != null) {
            hotRestart.startShutdown();
        }
        keepAccepting(startedAt);
        boolean listenerClosed = closeListener();
        keepServing(startedAt, untilKilledNanos);
        closeRemainingClients(listenerClosed);
        log.info("graceful shutdown ended", "clients=" + clients.count());
    }

    /**
     * Returns the time in nanoseconds from the signal until the process may be killed: the longest client
     * timeout in the settings, capped, plus a grace. Timeouts of single requests don't count.
     */
    private long untilKilledNanos() {
        return Math.min(MAX_CLIENT_WAIT_NANOS, clients.longestTimeoutNanos()) + KILL_GRACE_NANOS;
    }

    private void keepAccepting(long startedAt) throws InterruptedException {
        while (System.nanoTime() - startedAt < KEEP_ACCEPTING_NANOS && !isSuccessorServing()) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Returns whether the listener is closed. Without a free descriptor it closes only after the clients. */
    private boolean closeListener() throws InterruptedException {
        if (isSuccessorServing()) {
            listener.stopAccepting();
            clients.startHandover();
        } else {
            clients.startClosingQuietConnections();
        }
        return listener.closeWhenQuiet(LISTENER_CLOSE_MILLIS);
    }

    private void keepServing(long startedAt, long untilKilledNanos) throws InterruptedException {
        long keepServingNanos = Math.min(MAX_KEEP_SERVING_NANOS, untilKilledNanos - LAST_REQUEST_NANOS);
        while (System.nanoTime() - startedAt < keepServingNanos && clients.count() > 0) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    private void closeRemainingClients(boolean listenerClosed) throws InterruptedException {
        boolean closed = listenerClosed;
        long deadline = System.nanoTime() + MAX_CLIENT_CLOSE_NANOS;
        clients.end();
        while ((clients.count() > 0 || !closed) && System.nanoTime() < deadline) {
            closed = listener.closeWhenQuiet(POLL_MILLIS) || closed;
            Thread.sleep(POLL_MILLIS);
            clients.end();
        }
    }

    private boolean isSuccessorServing() {
        return hotRestart != null && hotRestart.isSuccessorServing();
    }
}
