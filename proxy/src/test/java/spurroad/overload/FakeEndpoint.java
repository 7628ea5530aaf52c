package spurroad.overload;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import spurroad.transport.Connection;
import spurroad.transport.DescriptorBudget;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;
import spurroad.transport.Listener;

/**
 * A cache node or an origin on loopback that serves requests by its {@link ServiceModel}. All state except
 * {@link #lastRequestNanos()} is confined to the event loop's thread.
 */
final class FakeEndpoint implements Listener.AcceptHandler {
    /** Protocol of an endpoint. */
    enum Role { CACHE_NODE, ORIGIN }

    private static final int MAX_CONNECTIONS = 100_000; // the endpoint's own limit is never the bottleneck

    private final EventLoop loop;
    private final ServiceModel model;
    private final Role role;
    private final Random random;
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private final int port;
    private int executing;
    private volatile long lastRequestNanos;

    /**
     * Starts an endpoint on a free port.
     *
     * @param seed of the service times, misses and value sizes
     */
    FakeEndpoint(EventLoop loop, EventLog log, ServiceModel model, Role role, long seed) throws IOException {
        this.loop = loop;
        this.model = model;
        this.role = role;
        random = new Random(seed);
        Listener listener = new Listener(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), loop,
            new DescriptorBudget(MAX_CONNECTIONS).clientPermits(), this, log);
        listener.start(() -> {});
        port = listener.port();
    }

    int port() {
        return port;
    }

    /**
     * Returns when the last request arrived, by the loop's clock; 0 before the first. Callable from any
     * thread.
     */
    long lastRequestNanos() {
        return lastRequestNanos;
    }

    @Override
    public void onAccepted(Connection connection, boolean guest) {
        connection.open(new FakeEndpointConnection(this, role, connection));
    }

    @Override
    public void onPermitsExhausted() {}

    /** Returns the number of requests that are being served or queued. */
    int inFlight() {
        return executing + queue.size();
    }

    /**
     * Serves a request now or queues it.
     *
     * @param onServed runs after the request's service time
     * @return false if the queue is full and the request is rejected
     */
    boolean tryServe(Runnable onServed) {
        lastRequestNanos = loop.now();
        if (executing < model.concurrency()) {
            serve(onServed);
        } else if (queue.size() < model.queueLimit()) {
            queue.add(onServed);
        } else {
            return false;
        }
        return true;
    }

    private void serve(Runnable onServed) {
        executing++;
        long serviceNanos = (long) (-Math.log(1 - random.nextDouble()) * model.meanServiceNanos());
        loop.schedule(serviceNanos, () -> {
            executing--;
            onServed.run();
            if (!queue.isEmpty() && executing < model.concurrency()) {
                serve(queue.poll());
            }
        });
    }

    /** Returns whether the next read is a miss, at random. */
    boolean drawMiss() {
        return random.nextDouble() < model.missFraction();
    }

    /** Returns whether the next value is large, at random. */
    boolean drawLargeValue() {
        return random.nextDouble() < model.largeValueFraction();
    }
}
