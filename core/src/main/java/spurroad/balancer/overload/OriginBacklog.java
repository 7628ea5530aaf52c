package spurroad.balancer.overload;

import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.peer.PeerUpdates;
import spurroad.balancer.peer.UpdateBudget;
import spurroad.balancer.statistics.DecayingAverage;
import spurroad.model.PeerUpdate;

/**
 * Limits the requests that reach an origin behind the endpoints to an admitted fraction, with gossip.
 *
 * <p>The endpoints fetch from that origin themselves, so no proxy can limit the requests in flight there, and
 * an origin with a backlog answers every request late and does not recover by itself. All proxies report how
 * their writes end to the origin's owner, which publishes the fraction: it decreases exponentially while too
 * many writes are late, and increases linearly otherwise. Reads that may miss are limited first; writes only
 * below {@link #WRITES_LIMITED_BELOW} and while most writes are late, since late writes only invalidate
 * cached values. Invariant: the fraction is at least {@link #MIN_ADMITTED_FRACTION}.
 */
public final class OriginBacklog {
    private static final double DECREASE_PER_SECOND = 1.0; // exponential rate; a backlog builds up quickly
    // added to the fraction; a long queue drains slowly
    private static final double INCREASE_PER_SECOND = 0.15;
    // admitted fraction; above it only reads are limited
    private static final double WRITES_LIMITED_BELOW = 0.5;
    private static final double LATE_FRACTION_TO_LIMIT_READS = 0.3; // fraction of late writes
    private static final double LATE_FRACTION_TO_LIMIT_WRITES = 0.7; // fraction of late writes
    private static final double MIN_ADMITTED_FRACTION = 0.05; // so that caches continue to be filled
    // time constant of the average over the writes of all proxies
    private static final long LATE_WRITES_DECAY_NANOS = 1_000_000_000L;
    // maximum time that one adjustment covers, after a pause without writes
    private static final long MAX_ADJUSTMENT_NANOS = 1_000_000_000L;
    // older updates are ignored: the owner may have stopped
    private static final long MAX_UPDATE_AGE_NANOS = 4_000_000_000L;

    private final ActiveDeployment deployment;
    private final EventContext event;
    private final PeerUpdates peers;
    private final DecayingAverage lateWrites = new DecayingAverage(LATE_WRITES_DECAY_NANOS);
    private final UpdateBudget updateBudget = new UpdateBudget(0, UpdateBudget.MIN_INTERVAL_NANOS);
    private double fraction = 1;
    private double publishedFraction = 1;
    private long adjustedNanos;
    private long updatedNanos = Long.MIN_VALUE / 2;

    /** Creates a limit that initially admits everything. */
    public OriginBacklog(ActiveDeployment deployment, EventContext event, PeerUpdates peers) {
        this.deployment = deployment;
        this.event = event;
        this.peers = peers;
    }

    /**
     * Records the end of a write at some proxy, as the origin's owner, and publishes the fraction if an
     * update is due.
     */
    public void onWriteEnd(PeerUpdate update) {
        adjust(update.value() > 0);
        updateBudget.earn(UpdateBudget.CREDIT_PER_ATTEMPT);
        boolean limitsRequests = Math.min(fraction, publishedFraction) < 1;
        if (limitsRequests && updateBudget.trySpend(event.now(), deployment.fleet().proxyCount())) {
            updatedNanos = event.now();
            publishedFraction = fraction;
            peers.sendToAll(new PeerUpdate(PeerUpdate.Topic.ORIGIN_ADMISSION, 0, admittedFraction()));
        }
    }

    private void adjust(boolean late) {
        long now = event.now();
        lateWrites.add(now, late ? 1 : 0, 1);
        double elapsedSeconds = Math.min(MAX_ADJUSTMENT_NANOS, now - adjustedNanos) / 1e9;
        double maxLateFraction = fraction > WRITES_LIMITED_BELOW ? LATE_FRACTION_TO_LIMIT_READS
            : LATE_FRACTION_TO_LIMIT_WRITES;
        boolean decreases = lateWrites.mean(now, DecayingAverage.PRIOR_WEIGHT, 0) > maxLateFraction;
        double adjusted = decreases ? fraction * Math.exp(-DECREASE_PER_SECOND * elapsedSeconds)
            : fraction + INCREASE_PER_SECOND * elapsedSeconds;
        fraction = Math.max(MIN_ADMITTED_FRACTION, Math.min(1, adjusted));
        adjustedNanos = now;
    }

    /** Applies the fraction that the origin's owner has published. */
    public void onAdmissionUpdate(PeerUpdate update) {
        fraction = update.value();
        updatedNanos = event.now();
    }

    /** Returns the admitted fraction of reads that may miss, at most 1. */
    public double admittedReads() {
        return Math.max(MIN_ADMITTED_FRACTION, 1 - (1 - admittedFraction()) / (1 - WRITES_LIMITED_BELOW));
    }

    /** Returns the admitted fraction of writes; a value of 1 or more admits all. */
    public double admittedWrites() {
        return admittedFraction() / WRITES_LIMITED_BELOW;
    }

    private double admittedFraction() {
        return event.now() - updatedNanos < MAX_UPDATE_AGE_NANOS ? fraction : 1;
    }
}
