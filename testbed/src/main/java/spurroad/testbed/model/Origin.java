package spurroad.testbed.model;

import java.util.function.Consumer;
import spurroad.model.Effect;
import spurroad.testbed.scenario.Scenario.Load;
import spurroad.testbed.scenario.Scenario.Service;
import spurroad.testbed.time.Timeline;

/**
 * The slow origin: it serves reads and writes with service slots and a queue of its own. It recognizes a
 * repeated deduplicated write within the window of its request class, and acknowledges it without another
 * effect. Not thread-safe: used on the timeline's thread.
 */
public final class Origin {
    /** The origin's uid in the endpoint list. */
    public static final String UID = "origin";
    private static final double MIN_SPEED_FACTOR = 1e-3;

    private final Timeline timeline;
    private final Service service;
    private final Load load;
    private final OriginState state;
    private final RequestObserver observer;
    private final RandomStream random;
    private final ServiceQueue queue;
    private final IdempotencyKeys idempotencyKeys = new IdempotencyKeys();
    private double speedFactor = 1;

    /** Creates an idle origin that serves a shared state at the speed of a service. */
    public Origin(Service service, Load load, Timeline timeline, OriginState state, RequestObserver observer,
                  RandomStream random) {
        this.service = service;
        this.load = load;
        this.timeline = timeline;
        this.state = state;
        this.observer = observer;
        this.random = random;
        queue = new ServiceQueue(timeline, service);
    }

    /**
     * Accepts an execution whose last byte has arrived; a write takes effect when it is done.
     *
     * @param answer receives the reply, at once if the queue is full
     */
    public void offer(ServerRequest request, Consumer<Reply> answer) {
        observer.onExecutionReceived(timeline.now(), UID, request);
        boolean accepted = queue.offer(new ServiceQueue.Job() {
            @Override
            public long serviceTimeNanos() {
                return random.nextDurationNanos(service.meanNs() / speedFactor, service.spread());
            }

            @Override
            public void onComplete() {
                end(request, request.track().write() ? write(request) : read(request), answer);
            }
        });
        if (!accepted) {
            end(request, new Reply(Reply.Kind.BUSY, 0, 0, queue.inFlight(), 0), answer);
        }
    }

    private void end(ServerRequest request, Reply reply, Consumer<Reply> answer) {
        observer.onExecutionEnded(timeline.now(), UID, request, reply);
        answer.accept(reply);
    }

    private Reply read(ServerRequest request) {
        state.onRead(request.id(), request.key());
        int bytes = random.nextBoolean(load.longPart()) ? load.longBytes() : load.valueBytes();
        return new Reply(Reply.Kind.VALUE, state.version(request.key()), bytes, queue.inFlight(), 0);
    }

    private Reply write(ServerRequest request) {
        long now = timeline.now();
        idempotencyKeys.cleanUp(now);
        if (!isRepeat(request, now)) {
            state.onWrite(request.key());
            observer.onWriteEffect(now, request);
        }
        return new Reply(Reply.Kind.RECEIPT, state.version(request.key()), 0, queue.inFlight(), 0);
    }

    private boolean isRepeat(ServerRequest request, long nowNanos) {
        return request.track().effect() == Effect.DEDUPLICATED
            && !idempotencyKeys.add(request.idempotencyKey(), nowNanos, request.track().dedupNs());
    }

    /** Returns the number of executions that are served or wait. */
    public int inFlight() {
        return queue.inFlight();
    }

    /** Sets a factor on the normal speed; 1 for no fault. */
    public void speed(double factor) {
        speedFactor = Math.max(MIN_SPEED_FACTOR, factor);
    }
}
