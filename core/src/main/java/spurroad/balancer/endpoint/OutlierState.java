package spurroad.balancer.endpoint;

import spurroad.balancer.statistics.DecayingAverage;

/**
 * What outlier detection knows of one endpoint: its failures, and how far it is from ordinary use.
 *
 * <p>An ejected endpoint gets nothing for its ejection time, which doubles each time up to a bound. After
 * that, and once a load probe has been answered where such are sent, it gets a trial batch of one request; a
 * batch that ends well is followed by one twice as large, until it is ordinary again. Invariants:
 * {@code trialRequestsLeft} only matters while {@code trialBatch} is above zero, and then it is above zero
 * whenever no attempt is in flight.
 */
public final class OutlierState {
    private static final long BASE_EJECTION_NANOS = 500_000_000L; // short beside the faults that were seen
    private static final long MAX_EJECTION_NANOS = 4_000_000_000L; // well again, it waits no longer
    private static final int MAX_TRIAL_BATCH = 8; // requests; twice as many are an ordinary flow

    private DecayingAverage failures = new DecayingAverage(DecayingAverage.SHORT_TERM_NANOS);
    private long lastReplyNanos;
    private long loadProbeFailedNanos;
    private long ejectedUntilNanos;
    private long nextEjectionNanos = BASE_EJECTION_NANOS;
    private int trialBatch;
    private int trialRequestsLeft;
    private int trialSuccesses;
    private boolean confirmedByProbe = true;

    /** Returns whether it is ejected now. */
    public boolean isEjected(long now) {
        return now < ejectedUntilNanos;
    }

    /** Returns until when it is ejected, in nanoseconds; a past time where it is not. */
    long ejectedUntilNanos() {
        return ejectedUntilNanos;
    }

    /** Returns whether it gets trial batches instead of its ordinary flow. */
    boolean isOnTrial() {
        return trialBatch > 0;
    }

    /** Returns whether its trial waits for a load probe to be answered. */
    boolean awaitsLoadProbe(boolean loadProbesEnabled) {
        return loadProbesEnabled && isOnTrial() && !confirmedByProbe;
    }

    /**
     * Returns whether a trial, if there is one, has a request left for this; only idempotent ones are risked.
     */
    boolean trialAllows(boolean idempotent, boolean loadProbesEnabled) {
        return !isOnTrial() || (idempotent && trialRequestsLeft > 0 && !awaitsLoadProbe(loadProbesEnabled));
    }

    /** Returns whether a load probe has failed since it last replied. */
    boolean hasFailedProbe() {
        return loadProbeFailedNanos > lastReplyNanos;
    }

    /** Returns when it last replied to an attempt, in nanoseconds. */
    long lastReplyNanos() {
        return lastReplyNanos;
    }

    /** Returns the number of recent failures, faded. */
    double failureCount(long now) {
        return failures.sum(now);
    }

    /** Returns the failed fraction of recent attempts. */
    double failureRate(long now) {
        return failures.mean(now, 0, 0);
    }

    void onReply(long now) {
        lastReplyNanos = now;
    }

    void onAttemptStart() {
        if (isOnTrial()) {
            trialRequestsLeft--;
        }
    }

    void onFailure(long now) {
        failures.add(now, 1, 1);
    }

    /**
     * A trial batch that ends well is followed by one twice as large, and by the ordinary flow in the end.
     */
    void onSuccess(long now) {
        failures.add(now, 0, 1);
        if (!isOnTrial()) {
            return;
        }
        trialSuccesses++;
        if (trialSuccesses < trialBatch) {
            return;
        }
        trialBatch = trialBatch >= MAX_TRIAL_BATCH ? 0 : 2 * trialBatch;
        trialRequestsLeft = trialBatch;
        trialSuccesses = 0;
        if (!isOnTrial()) {
            nextEjectionNanos = BASE_EJECTION_NANOS;
        }
    }

    /**
     * Leaves a trial a request to go on with: after an end that tells nothing of the endpoint, and whenever
     * nothing is in flight, however its attempts ended, as nothing else would begin.
     */
    void ensureTrialRequest() {
        trialRequestsLeft = Math.max(1, trialRequestsLeft);
    }

    /** Ejects it; where load probes are sent, its trial then waits for one to be answered. */
    void eject(long now) {
        ejectedUntilNanos = now + nextEjectionNanos;
        nextEjectionNanos = Math.min(MAX_EJECTION_NANOS, 2 * nextEjectionNanos);
        confirmedByProbe = false;
        trialBatch = 1;
        trialRequestsLeft = 1;
        trialSuccesses = 0;
        failures = new DecayingAverage(DecayingAverage.SHORT_TERM_NANOS);
    }

    void onProbeSuccess() {
        confirmedByProbe = true;
    }

    /** Returns whether the failed probe prolonged an ejection: one that has not been confirmed yet. */
    boolean onProbeFailure(long now) {
        loadProbeFailedNanos = now;
        if (confirmedByProbe) {
            return false;
        }
        ejectedUntilNanos = Math.max(ejectedUntilNanos, now + nextEjectionNanos);
        return true;
    }
}
