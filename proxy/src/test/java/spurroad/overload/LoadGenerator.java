package spurroad.overload;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import spurroad.transport.EventLoop;

/**
 * Sends open-loop load to one proxy: requests fall due at a fixed rate, whatever the outcome of earlier ones.
 * Each request takes an idle connection or opens one. All methods run on the event loop's thread.
 */
final class LoadGenerator {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long TICK_NANOS = 1_000_000L;

    private final EventLoop loop;
    private final InetSocketAddress proxy;
    private final Random random;
    private final Deque<LoadConnection> idleConnections = new ArrayDeque<>();
    private LoadPlan plan;
    private LoadStatistics statistics = new LoadStatistics();
    private int openConnections;
    private long lastRequestId;
    private long nextDueNanos;
    private boolean running;

    /**
     * Creates a generator that sends nothing yet.
     *
     * @param seed of the arrivals, the keys and the pauses before retries
     */
    LoadGenerator(EventLoop loop, InetSocketAddress proxy, long seed) {
        this.loop = loop;
        this.proxy = proxy;
        random = new Random(seed);
    }

    /** Starts sending, or changes what is sent. */
    void start(LoadPlan next) {
        plan = next;
        if (!running) {
            running = true;
            nextDueNanos = loop.now();
            sendDueRequests();
        }
    }

    /** Stops sending; requests that fell due before go on. */
    void stop() {
        running = false;
    }

    /** Returns the statistics of the requests that fell due since the last call. */
    LoadStatistics takeStatistics() {
        LoadStatistics taken = statistics;
        statistics = new LoadStatistics();
        return taken;
    }

    private void sendDueRequests() {
        if (!running) {
            return;
        }
        while (nextDueNanos <= loop.now()) {
            new LoadRequest(this, plan, nextDueNanos, statistics).send();
            double interarrivalSeconds = -Math.log(1 - random.nextDouble()) / plan.requestsPerSecond();
            nextDueNanos += (long) (interarrivalSeconds * NANOS_PER_SECOND);
        }
        loop.schedule(TICK_NANOS, this::sendDueRequests);
    }

    /** Returns a connection that no request uses, or null if the plan allows no further one. */
    LoadConnection acquireConnection() {
        LoadConnection idle = idleConnections.pollLast();
        while (idle != null && idle.isClosed()) {
            idle = idleConnections.pollLast();
        }
        if (idle != null || openConnections >= plan.maxConnections()) {
            return idle;
        }
        openConnections++;
        statistics.connectionsOpened++;
        return new LoadConnection(this);
    }

    void releaseConnection(LoadConnection connection) {
        idleConnections.addLast(connection);
    }

    void onConnectionClosed() {
        openConnections--;
    }

    String nextRequestId() {
        return Long.toHexString(++lastRequestId);
    }

    EventLoop loop() {
        return loop;
    }

    InetSocketAddress proxy() {
        return proxy;
    }

    Random random() {
        return random;
    }
}
