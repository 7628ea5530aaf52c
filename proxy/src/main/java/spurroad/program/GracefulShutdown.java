package spurroad.program;

import spurroad.program.restart.HotRestart;
import spurroad.routing.ClientConnections;
import spurroad.transport.EventLog;
import spurroad.transport.Listener;

/**
 * Ends a proxy in order, so that each request that it took gets its response before the process may be
 * killed.
 *
 * <p>Where the proxies of a deployment restart one after another, the next may end before this one is back: a
 * proxy without a successor therefore goes on accepting for a while, and goes on serving those who are
 * connected for as long as their requests can be answered in time. A successor on the same listening socket
 * takes the new clients at once.
 *
 * <p>The thread that calls {@link #run} waits until no client is connected.
 */
final class GracefulShutdown {
    // ns; balancers in front of the proxy send new connections for up to 400 ms after its end was asked for
    private static final long KEEP_ACCEPTING_NANOS = 500_000_000L;
    // ms; a listener without load has accepted all waiting clients by then
    private static final long LISTENER_CLOSE_MILLIS = 200;
    // ns; a platform kills at the latest so long after the signal, however long clients wait
    private static final long MAX_CLIENT_WAIT_NANOS = 3_000_000_000L;
    // ns; a platform kills 0.7 s after the longest wait of clients; the rest is for a busy moment
    private static final long KILL_GRACE_NANOS = 500_000_000L;
    // ns; the last request that is taken still has so long for its response
    private static final long LAST_REQUEST_NANOS = 400_000_000L;
    // ns; the process that takes this one's place serves by then
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
     * Ends nothing yet.
     *
     * @param hotRestart tells of a successor on the same listening socket; null where there can be none
     */
    GracefulShutdown(ClientAcceptance acceptance, Listener listener, ClientConnections clients,
                     HotRestart hotRestart, EventLog log) {
        this.acceptance = acceptance;
        this.listener = listener;
        this.clients = clients;
        this.hotRestart = hotRestart;
        this.log = log;
    }

    /** Ends the proxy; returns when no client is left, or after the longest time that closing may take. */
    void run() throws InterruptedException {
        log.info("graceful shutdown started", "clients=" + clients.count());
        acceptance.open(); // clients who wait in the accept queue get their responses too
        long startedAt = System.nanoTime();
        long untilKilledNanos = untilKilledNanos();
        clients.failUnansweredAfter(untilKilledNanos);
        if (hotRestart != null) {
            hotRestart.startShutdown();
        }
        keepAccepting(startedAt);
        boolean listenerClosed = closeListener();
        keepServing(startedAt, untilKilledNanos);
        closeClients(listenerClosed);
        log.info("graceful shutdown ended", "clients=" + clients.count());
    }

    /**
     * Returns how long after the signal the process may be killed: the settings tell the platform how long
     * clients wait, whatever a single client asks for.
     */
    private long untilKilledNanos() {
        return Math.min(MAX_CLIENT_WAIT_NANOS, clients.longestTimeoutNanos()) + KILL_GRACE_NANOS;
    }

    private void keepAccepting(long startedAt) throws InterruptedException {
        while (System.nanoTime() - startedAt < KEEP_ACCEPTING_NANOS && !isSuccessorServing()) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Returns whether the listener is closed; without a free descriptor it can't be before clients are. */
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

    private void closeClients(boolean listenerClosed) throws InterruptedException {
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
