package spurroad.control.distribution.subscribe;

import java.util.List;
import java.util.Random;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.MonotonicTime;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.message.Message;
import spurroad.control.distribution.message.Message.Acknowledgement;
import spurroad.control.distribution.message.Message.RejectionReason;
import spurroad.control.distribution.message.Message.Subscribe;
import spurroad.control.distribution.message.Message.SubscriptionRejected;
import spurroad.control.distribution.message.Message.Unsubscribe;
import spurroad.control.distribution.message.Message.Update;
import spurroad.control.distribution.message.Outbox;
import spurroad.control.distribution.message.Participant;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.Freshness;
import spurroad.control.distribution.state.PurgeLog;
import spurroad.control.distribution.state.Scope;
import spurroad.control.distribution.state.StateListener;

/**
 * The receiving end of a link: subscribes to a parent, applies its updates, and changes to another parent
 * when the current one is lost, itself has no parent, or is not preferred. Without a parent it retains its
 * last state. Messages of a former parent are ignored.
 *
 * <p>Not thread-safe. Times are nanoseconds of a monotonic clock.
 */
public final class Subscriber implements Participant {
    /** Time over which subscribers that lose the same parent at once spread their new subscriptions. */
    private static final long RECONNECT_SPREAD_NANOS = 200 * DistributionSettings.NANOS_PER_MILLISECOND;
    private static final long REJECTION_BACKOFF_NANOS = 500 * DistributionSettings.NANOS_PER_MILLISECOND;
    /** Maximum time for which a publisher may postpone a retry. */
    private static final long MAX_RETRY_AFTER_MILLIS = 10_000;
    /** Maximum number of times that the request timeout is doubled. */
    private static final int MAX_TIMEOUT_DOUBLINGS = 3;

    private final DistributionSettings settings;
    private final Scope scope;
    private final ConfigurationState configuration;
    private final PurgeLog purges;
    private final int purgeHistory;
    private final Random random;
    private final ParentSelector selector;
    private final Freshness freshness;
    private final UpdateApplier applier;
    private final ParentLink link;
    private ProcessId unnotifiedFormerParent; // null if there is none
    private int consecutiveFailures;
    private int consecutiveShortLogRejections;
    private long nextAttemptNanos;
    private long subscribeCount;

    /**
     * Creates a subscriber without a parent or candidates for one.
     *
     * @param scope the part of the configuration that it subscribes to
     * @param configuration the configuration that this subscriber advances
     * @param purges the purges that this subscriber advances
     * @param purgeHistory number of earlier purges to request while it has none, for its own children
     * @param listener receives all changes and purges that take effect
     * @param seed the seed for the order of candidates and the spread of retries
     */
    public Subscriber(DistributionSettings settings, Scope scope, ConfigurationState configuration,
                      PurgeLog purges, int purgeHistory, StateListener listener, long seed) {
        this.settings = settings;
        this.scope = scope;
        this.configuration = configuration;
        this.purges = purges;
        this.purgeHistory = purgeHistory;
        link = new ParentLink(settings);
        random = new Random(seed);
        selector = new ParentSelector(random);
        freshness = new Freshness(settings.freshnessLeaseNanos);
        applier = new UpdateApplier(configuration, purges, freshness, listener);
    }

    /**
     * Replaces the candidates for a parent; detaches from the current parent unless it is a preferred one.
     *
     * @param preferred candidates that are tried first, in a random order
     * @param others candidates that are tried when no preferred one accepts
     */
    public void setParentCandidates(long nowNanos, List<ProcessId> preferred, List<ProcessId> others) {
        selector.setCandidates(preferred, others);
        if (link.isSearching() || !preferred.contains(link.parent())) {
            search(nowNanos);
        }
    }

    /** Handles a message from the current parent; ignores messages from other processes. */
    @Override
    public void onMessage(long nowNanos, ProcessId from, Message message, Outbox outbox) {
        if (!from.equals(link.parent())) {
            return;
        }
        if (message instanceof Update update) {
            onUpdate(nowNanos, update, outbox);
        } else if (message instanceof SubscriptionRejected rejected) {
            onRejection(nowNanos, rejected);
        }
    }

    private void onUpdate(long nowNanos, Update update, Outbox outbox) {
        if (!link.isAttached()) {
            attach(nowNanos);
        }
        link.onUpdate(nowNanos, update.heartbeat().isConnected());
        boolean hasGap = applier.apply(nowNanos, update);
        outbox.send(link.parent(), new Acknowledgement(update.updateNumber(), configuration.sequence(),
            purges.lastNumber(), hasGap, MonotonicTime.toMillis(nowNanos)));
    }

    private void attach(long nowNanos) {
        consecutiveShortLogRejections = 0;
        consecutiveFailures = 0;
        selector.onSuccess(link.parent());
        long returnDelayNanos = settings.returnIntervalNanos + randomUpTo(settings.returnIntervalNanos);
        link.attach(nowNanos, selector.isPreferred(link.parent()) ? ParentLink.NEVER : returnDelayNanos);
    }

    private void onRejection(long nowNanos, SubscriptionRejected rejected) {
        if (rejected.reason() == RejectionReason.LOG_TOO_SHORT) {
            consecutiveShortLogRejections++;
        }
        long backoffNanos = rejected.reason() == RejectionReason.BUSY
            ? MonotonicTime.toNanos(Math.min(rejected.retryAfterMillis(), MAX_RETRY_AFTER_MILLIS))
            : REJECTION_BACKOFF_NANOS;
        selector.onRejection(link.parent(), nowNanos, backoffNanos);
        search(nowNanos);
    }

    private void search(long nowNanos) {
        if (!link.isSearching()) {
            unnotifiedFormerParent = link.parent();
        }
        link.search();
        nextAttemptNanos = nowNanos;
    }

    @Override
    public void onTimer(long nowNanos, Outbox outbox) {
        if (link.isLost(nowNanos, requestTimeoutNanos())) {
            leaveLostParent(nowNanos);
        } else if (link.isReturnDue(nowNanos)) {
            selector.clearBackoff();
            search(nowNanos);
        }
        if (link.isSearching() && nowNanos >= nextAttemptNanos) {
            notifyFormerParent(nowNanos, outbox);
            subscribe(nowNanos, outbox);
        }
    }

    private void leaveLostParent(long nowNanos) {
        boolean wasAttached = link.isAttached();
        selector.onFailure(link.parent(), nowNanos);
        consecutiveFailures++;
        search(nowNanos);
        if (wasAttached) {
            nextAttemptNanos = nowNanos + randomUpTo(RECONNECT_SPREAD_NANOS);
        }
    }

    /**
     * Returns the request timeout, which doubles with each round in which no candidate answered, because this
     * process itself may be slow.
     */
    private long requestTimeoutNanos() {
        int failedRounds = consecutiveFailures / Math.max(1, selector.candidateCount());
        return settings.requestTimeoutNanos << Math.min(failedRounds, MAX_TIMEOUT_DOUBLINGS);
    }

    private void notifyFormerParent(long nowNanos, Outbox outbox) {
        if (unnotifiedFormerParent != null) {
            outbox.send(unnotifiedFormerParent, new Unsubscribe(MonotonicTime.toMillis(nowNanos)));
            unnotifiedFormerParent = null;
        }
    }

    private void subscribe(long nowNanos, Outbox outbox) {
        ProcessId candidate = selector.nextCandidate(nowNanos);
        if (candidate == null) {
            nextAttemptNanos = Math.max(nowNanos, selector.nextCandidateNanos());
            return;
        }
        link.request(nowNanos, candidate);
        subscribeCount++;
        boolean acceptsPurgeReset = consecutiveShortLogRejections >= selector.candidateCount();
        outbox.send(candidate, new Subscribe(scope, configuration.isInitialized(), configuration.sequence(),
            applier.purgeNumber(), purgeHistory, acceptsPurgeReset, MonotonicTime.toMillis(nowNanos)));
    }

    private long randomUpTo(long boundNanos) {
        return (long) (random.nextDouble() * boundNanos);
    }

    @Override
    public long nextTimerNanos() {
        return link.isSearching() ? nextAttemptNanos : link.deadlineNanos(requestTimeoutNanos());
    }

    /** Returns whether this subscriber has a parent that has sent an update. */
    public boolean isAttached() {
        return link.isAttached();
    }

    /** Returns the parent, or the candidate that was sent a subscription, or null if there is none. */
    public ProcessId parent() {
        return link.parent();
    }

    /** Returns the latest term of the core from which an update was applied without a gap. */
    public long term() {
        return applier.term();
    }

    /** Returns the time up to which this subscriber knows all entries that the core has committed. */
    public Freshness freshness() {
        return freshness;
    }

    /** Returns the configuration of this subscriber. */
    public ConfigurationState configuration() {
        return configuration;
    }

    /** Returns the purges of this subscriber. */
    public PurgeLog purges() {
        return purges;
    }

    /** Returns the number of subscriptions that were sent. */
    public long subscribeCount() {
        return subscribeCount;
    }
}
