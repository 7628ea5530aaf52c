package spurroad.control.distribution.publish;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.message.Message.Acknowledgement;
import spurroad.control.distribution.message.Message.RejectionReason;
import spurroad.control.distribution.message.Message.Subscribe;
import spurroad.control.distribution.message.Message.SubscriptionRejected;
import spurroad.control.distribution.message.Message.Unsubscribe;
import spurroad.control.distribution.message.Outbox;
import spurroad.control.distribution.message.SubscriberMessage;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.ConfigurationUpdate;
import spurroad.control.distribution.state.PurgeLog;
import spurroad.control.distribution.state.PurgeUpdate;
import spurroad.control.distribution.state.Scope;

/**
 * The sending end of the links to the children of one process. For each child it stores a position and no
 * queue: the next update is created from the current state when the child's window is open, so that a slow
 * child costs no memory and receives the newest state. All children are served once per flush interval. The
 * phase of the interval is random, so that publishers that started together do not send at the same time.
 *
 * <p>Not thread-safe. Times are nanoseconds of a monotonic clock.
 */
public final class Publisher {
    private static final long NEVER = Long.MAX_VALUE;

    /**
     * The publishing process's own connection and freshness at one time.
     *
     * @param term the term of the core in which its latest state was committed
     * @param ageMillis age of its knowledge in milliseconds, as {@code Freshness.ageMillis} returns it
     * @param isConnected whether it has a parent, or a leader, of its own
     */
    public record Status(long term, long ageMillis, boolean isConnected) {}

    private final DistributionSettings settings;
    private final Scope scope;
    private final ConfigurationState configuration;
    private final PurgeLog purges;
    private final UpdateCache updateCache;
    private final SubscriptionRateLimiter rateLimiter;
    private final Random random;
    private final Map<ProcessId, ChildProgress> children = new LinkedHashMap<>();
    private long nextFlushNanos = NEVER;
    private long retainedPurgesAfter = Long.MAX_VALUE;

    /**
     * Creates a publisher without children.
     *
     * @param scope the part of the configuration that this publisher has
     * @param configuration the configuration to publish, advanced by its owner
     * @param purges the purges to publish, advanced by their owner; this publisher determines which of them
     *     are still needed
     * @param seed the seed for the phase of the flush interval and the spread of retries
     */
    public Publisher(DistributionSettings settings, Scope scope, ConfigurationState configuration,
                     PurgeLog purges, long seed) {
        this.settings = settings;
        this.scope = scope;
        this.configuration = configuration;
        this.purges = purges;
        updateCache = new UpdateCache(configuration, purges, settings.maxPurgesPerUpdate);
        random = new Random(seed);
        rateLimiter = new SubscriptionRateLimiter(settings.admissionsPerSecond, settings.admissionBurst,
            random);
    }

    /** Handles a message of a subscriber. */
    public void onMessage(long nowNanos, ProcessId from, SubscriberMessage message, Status status,
                          Outbox outbox) {
        if (message instanceof Subscribe subscribe) {
            onSubscribe(nowNanos, from, subscribe, status, outbox);
        } else if (message instanceof Acknowledgement acknowledgement) {
            onAcknowledgement(nowNanos, from, acknowledgement);
        } else {
            onUnsubscribe(from, (Unsubscribe) message);
        }
    }

    /** Accepts a subscription and sends the first update, or rejects it. */
    public void onSubscribe(long nowNanos, ProcessId from, Subscribe request, Status status,
                            Outbox outbox) {
        Optional<RejectionReason> rejection = rejectionOf(nowNanos, from, request, status);
        if (rejection.isPresent()) {
            children.remove(from);
            outbox.send(from,
                new SubscriptionRejected(rejection.get(), rateLimiter.retryAfterMillis(nowNanos)));
            return;
        }
        ChildProgress child = new ChildProgress(settings, nowNanos, request);
        children.put(from, child);
        if (request.startsWithoutPurges()) {
            sendFirstUpdateWithReset(from, child, request.purgeHistory(), status, outbox);
        } else {
            sendUpdate(from, child, updateCache.purgesFor(child), status, outbox);
        }
        retainNeededPurges();
        if (nextFlushNanos == NEVER) {
            nextFlushNanos = nowNanos + 1 + (long) (random.nextDouble() * settings.flushIntervalNanos);
        }
    }

    private Optional<RejectionReason> rejectionOf(long nowNanos, ProcessId from, Subscribe request,
                                                  Status status) {
        if (!configuration.isInitialized() || !scope.covers(request.scope()) || !status.isConnected()) {
            return Optional.of(RejectionReason.NOT_READY);
        }
        boolean hasNeededPurges = request.startsWithoutPurges()
            || purges.retainsAfter(request.purgeNumber());
        if (!hasNeededPurges && !request.acceptsPurgeReset()) {
            return Optional.of(RejectionReason.LOG_TOO_SHORT);
        }
        boolean isFull = !children.containsKey(from) && children.size() >= settings.maxChildren;
        if (isFull || !rateLimiter.tryAcquire(nowNanos)) {
            return Optional.of(RejectionReason.BUSY);
        }
        return Optional.empty();
    }

    /**
     * Sends a reset to a child that has stored nothing that purges could affect; the child then starts with
     * as many earlier purges as it requested, if they are still in the log.
     */
    private void sendFirstUpdateWithReset(ProcessId to, ChildProgress child, int purgeHistory, Status status,
                                          Outbox outbox) {
        long startNumber = Math.max(purges.startNumber(), purges.lastNumber() - purgeHistory);
        child.skipPurgesTo(startNumber);
        sendUpdate(to, child, Optional.of(new PurgeUpdate.Reset(startNumber)), status, outbox);
    }

    /** Records the position up to which a child has applied updates. */
    public void onAcknowledgement(long nowNanos, ProcessId from, Acknowledgement acknowledgement) {
        ChildProgress child = children.get(from);
        if (child != null) {
            child.onAcknowledgement(nowNanos, acknowledgement);
        }
    }

    /** Removes a child that unsubscribes; ignores a message sent before its latest subscription. */
    public void onUnsubscribe(ProcessId from, Unsubscribe message) {
        ChildProgress child = children.get(from);
        if (child != null && child.isEndedBy(message)) {
            children.remove(from);
        }
    }

    /**
     * If the flush interval has passed, removes children that have timed out, and sends the others their new
     * changes or a heartbeat, except while their window is closed.
     */
    public void flush(long nowNanos, Status status, Outbox outbox) {
        if (nowNanos < nextFlushNanos) {
            return;
        }
        children.values().removeIf(child -> child.isTimedOut(nowNanos, settings.childTimeoutNanos));
        children.forEach((id, child) -> {
            if (child.prepareUpdate(nowNanos)) {
                sendUpdate(id, child, updateCache.purgesFor(child), status, outbox);
            }
        });
        retainNeededPurges();
        nextFlushNanos = children.isEmpty() ? NEVER : nowNanos + settings.flushIntervalNanos;
    }

    private void sendUpdate(ProcessId to, ChildProgress child, Optional<PurgeUpdate> purgeUpdate,
                            Status status, Outbox outbox) {
        Optional<ConfigurationUpdate> configurationUpdate = updateCache.configurationFor(child);
        outbox.send(to,
            child.nextUpdate(configurationUpdate, purgeUpdate, status, purges.lastNumber()));
    }

    private void retainNeededPurges() {
        long neededAfter = retainedPurgesAfter;
        for (ChildProgress child : children.values()) {
            neededAfter = Math.min(neededAfter, child.acknowledged().purgeNumber());
        }
        purges.retainAfter(neededAfter);
    }

    /** Ends all subscriptions, so that the children search for another parent without a timeout. */
    public void rejectChildren(RejectionReason reason, Outbox outbox) {
        for (ProcessId child : children.keySet()) {
            outbox.send(child, new SubscriptionRejected(reason, 0));
        }
        children.clear();
        nextFlushNanos = NEVER;
        retainNeededPurges();
    }

    /**
     * Retains the purges after a number in addition to those that children need; {@code Long.MAX_VALUE} ends
     * this.
     */
    public void retainPurgesAfter(long purgeNumber) {
        retainedPurgesAfter = purgeNumber;
        retainNeededPurges();
    }

    /**
     * Returns when to call {@link #flush} next, in nanoseconds, or {@code Long.MAX_VALUE} while there are no
     * children.
     */
    public long nextFlushNanos() {
        return nextFlushNanos;
    }

    /** Returns the number of children. */
    public int childCount() {
        return children.size();
    }
}
