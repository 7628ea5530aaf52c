package spurroad.testbed.model;

import java.util.OptionalInt;
import java.util.function.Consumer;
import spurroad.testbed.scenario.Scenario.Load;
import spurroad.testbed.scenario.Scenario.NodeGroup;
import spurroad.testbed.time.Timeline;

/**
 * A cache node: a cache of keys, service slots with a queue, a warm-up after each start, and the faults that
 * a scenario injects. It doesn't know how requests travel. Not thread-safe: used on the timeline's thread.
 */
public final class CacheNode {
    /** How far the node can be reached over the network. */
    public enum Reach {
        /** Reachable. */
        UP,
        /** New connections never complete; established ones work. */
        HALF_OPEN,
        /** Connections are refused, and established ones were reset. */
        DOWN,
        /** No packet comes back, not even a reset. */
        VANISHED
    }

    /** A node that failed from overload restarts after this time, cold. */
    private static final long FAILURE_NANOS = 3_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double MIN_SPEED_FACTOR = 1e-3;

    /** The node's uid in the endpoint list. */
    public final String uid;
    /** The group whose settings the node has. */
    public final NodeGroup group;
    private final Timeline timeline;
    private final Load load;
    private final OriginState originState;
    private final RequestObserver observer;
    private final RandomStream random;
    private final ServiceQueue queue;
    private final KeyCache cache;
    private final WarmUp warmUp;
    private final ColdOverload coldOverload;
    private final NodeLoadReport loadReport;
    private Runnable reachListener = () -> {};
    private Reach reach = Reach.UP;
    private int connections;
    private boolean silent;
    private boolean repliesLost;
    private double speedFactor = 1;
    private double failureRate;
    private double corruptionRate;

    /** Creates a node that is warm and has an empty cache. */
    public CacheNode(String uid, NodeGroup group, Load load, Timeline timeline, OriginState originState,
                     RequestObserver observer,
                     RandomStream random) {
        this.uid = uid;
        this.group = group;
        this.load = load;
        this.timeline = timeline;
        this.originState = originState;
        this.observer = observer;
        this.random = random;
        queue = new ServiceQueue(timeline, group.service());
        cache = new KeyCache(group.keys(), group.keepNs());
        warmUp = new WarmUp(group);
        coldOverload = new ColdOverload(group.service().queue());
        loadReport = new NodeLoadReport(group.reportNs(), queue::inFlight);
        originState.addNode(this);
    }

    // ---- requests

    /**
     * Accepts an execution whose last byte has arrived.
     *
     * @param answer receives the reply, at once if the queue is full, and never under some faults
     */
    public void offer(ServerRequest request, Consumer<Reply> answer) {
        if (!isRunning()) {
            return;
        }
        observer.onExecutionReceived(timeline.now(), uid, request);
        if (silent) {
            return;
        }
        boolean accepted = queue.offer(new ServiceQueue.Job() {
            @Override
            public long serviceTimeNanos() {
                return CacheNode.this.serviceTimeNanos(request);
            }

            @Override
            public void onComplete() {
                end(request, read(request), answer);
            }
        });
        if (!accepted) {
            end(request, reply(Reply.Kind.BUSY), answer);
            failIfOverloadedWhileCold();
        }
    }

    private long serviceTimeNanos(ServerRequest request) {
        double speed = group.speed() * speedFactor * warmUp.speedFraction(timeline.now());
        double meanNanos = group.service().meanNs() / speed;
        long serviceNanos = random.nextDurationNanos(meanNanos, group.service().spread());
        return serviceNanos + (request.newConnection() ? group.connectNs() : 0);
    }

    private Reply read(ServerRequest request) {
        if (random.nextBoolean(failureRate)) {
            return reply(Reply.Kind.FAILED);
        }
        OptionalInt version = cache.version(request.key(), timeline.now());
        if (version.isEmpty()) {
            originState.onMiss(request.id(), this);
            return reply(Reply.Kind.MISS);
        }
        int bytes = random.nextBoolean(load.longPart()) ? load.longBytes() : load.valueBytes();
        return new Reply(Reply.Kind.VALUE, version.getAsInt(), bytes, report(), 0);
    }

    /** Returns a reply without a value. */
    private Reply reply(Reply.Kind kind) {
        return new Reply(kind, 0, 0, report(), 0);
    }

    private void end(ServerRequest request, Reply reply, Consumer<Reply> answer) {
        Reply sent = reply;
        if (random.nextBoolean(corruptionRate)) {
            sent = reply.corrupted(1 + random.below(Reply.CORRUPTIONS));
        }
        observer.onExecutionEnded(timeline.now(), uid, request, sent);
        if (!repliesLost) {
            answer.accept(sent);
        }
    }

    private void failIfOverloadedWhileCold() {
        long now = timeline.now();
        if (warmUp.isComplete(now) || !coldOverload.onRejection(now)) {
            return;
        }
        observer.onOverloadFailure(now, uid, "cold, up for "
            + (now - warmUp.startedAtNanos()) / NANOS_PER_MILLI + " ms of "
            + group.warmUpNs() / NANOS_PER_MILLI + ", rejected more than " + group.service().queue()
            + " within 1 s");
        reach(Reach.DOWN);
        timeline.after(FAILURE_NANOS, this::restart);
    }

    /** Opens a connection; returns false if the node refuses it. */
    public boolean connect() {
        if (reach == Reach.DOWN || connections >= group.connections()) {
            return false;
        }
        connections++;
        return true;
    }

    /** A connection that the node had accepted has ended. */
    public void disconnected() {
        connections--;
    }

    /** Returns the reported number of executions in flight, as outdated as the group's settings allow. */
    public int report() {
        return loadReport.inFlight(timeline.now());
    }

    // ---- state

    /** Returns how far the node can be reached. */
    public Reach reach() {
        return reach;
    }

    private boolean isRunning() {
        return reach != Reach.VANISHED && reach != Reach.DOWN;
    }

    /** Returns whether the node answers a load probe. */
    public boolean answers() {
        return !silent && !repliesLost && isRunning();
    }

    /** Returns when the node last started, in nanoseconds on the timeline; far below 0 for long ago. */
    public long startedAt() {
        return warmUp.startedAtNanos();
    }

    /** Returns the number of executions that are served or wait. */
    public int inFlight() {
        return queue.inFlight();
    }

    /** Stores a copy that the origin has served. */
    void store(int key, int version) {
        if (isRunning()) {
            cache.put(key, version, timeline.now());
        }
    }

    /** Removes the copy of a key that was written. */
    void removeCopy(int key) {
        cache.remove(key);
    }

    // ---- faults

    /** Sets the listener that is called after each change of {@link #reach()}. */
    public void onReach(Runnable changed) {
        reachListener = changed;
    }

    /** Changes how far the node can be reached; a node that goes down drops its executions. */
    public void reach(Reach to) {
        if (to == Reach.DOWN) {
            queue.reset();
        }
        reach = to;
        reachListener.run();
    }

    /** Restarts the node: cold, with an empty cache and no executions. */
    public void restart() {
        queue.reset();
        cache.clear();
        warmUp.restart(timeline.now());
        reach(Reach.UP);
    }

    /** Empties the cache. */
    public void flush() {
        cache.clear();
    }

    /** Sets whether the node receives executions and ignores them. */
    public void silent(boolean on) {
        silent = on;
    }

    /** Sets whether the node runs executions but its replies are lost. */
    public void cutBack(boolean on) {
        repliesLost = on;
    }

    /** Sets a factor on the normal speed; 1 for no fault. */
    public void speed(double factor) {
        speedFactor = Math.max(MIN_SPEED_FACTOR, factor);
    }

    /** Sets the fraction of executions that fail. */
    public void failing(double part) {
        failureRate = part;
    }

    /** Sets the fraction of replies that are corrupted. */
    public void spoilt(double part) {
        corruptionRate = part;
    }

    /** Removes the node for good: the origin stores nothing at it any more. */
    public void gone() {
        originState.removeNode(this);
        reach(Reach.DOWN);
    }
}
