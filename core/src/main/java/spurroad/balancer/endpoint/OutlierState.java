package spurroad.balancer.endpoint;

import spurroad.balancer.statistics.DecayingAverage;

/**
 * State of outlier detection for one endpoint: its failures, its ejection and its trial.
 *
 * <p>An ejected endpoint gets no requests for its ejection time, which doubles with each ejection up to a
 * maximum. After that time, and after a load probe has been answered if load probes are enabled, the endpoint
 * gets a trial batch of one request. A batch that succeeds is followed by one twice as large, until the
 * endpoint is in ordinary use again. Invariants: {@code trialRequestsLeft} is only relevant while {@code
 * trialBatch} is above zero, and is then above zero whenever no attempt is in flight.
 */
public final class OutlierState {
    private static final long BASE_EJECTION_NANOS = 500_000_000L; // short compared with observed faults
    // bounds the time that a recovered endpoint waits
    private static final long MAX_EJECTION_NANOS = 4_000_000_000L;
    private static final int MAX_TRIAL_BATCH = 8; // requests; a batch of twice as many is like ordinary use

    private DecayingAverage failures = new DecayingAverage(DecayingAverage.SHORT_TERM_NANOS);
    private long lastReplyNanos;
    private long loadProbeFailedNanos;
    private long ejectedUntilNanos;
    private long nextEjectionNanos = BASE_EJECTION_NANOS;
    private int trialBatch;
    private int trialRequestsLeft;
    private int trialSuccesses;
    private boolean confirmedByProbe = true;

    /** Returns whether the endpoint is ejected now. */
    public boolean isEjected(long now) {
        return now < ejectedUntilNanos;
    }

    /** Returns the end of the last ejection, in nanoseconds; a past time if the endpoint is not ejected. */
    long ejectedUntilNanos() {
        return ejectedUntilNanos;
    }

    /**
     * Returns whether the endpoint gets trial batches instead of all its requests, or will after its
     * ejection.
     */
    boolean isOnTrial() {
        return trialBatch > 0;
    }

    /** Returns whether the trial awaits the reply to a load probe. */
    boolean awaitsLoadProbe(boolean loadProbesEnabled) {
        return loadProbesEnabled && isOnTrial() && !confirmedByProbe;
    }

    /**
     * Returns whether the endpoint may get a request: it is not on trial, or the trial has a request left and
     * awaits no load probe. A trial allows only idempotent requests.
     */
    boolean trialAllows(boolean idempotent, boolean loadProbesEnabled) {
        return !isOnTrial() || (idempotent && trialRequestsLeft > 0 && !awaitsLoadProbe(loadProbesEnabled));
    }

    /** Returns whether a load probe has failed since the endpoint's last reply to an attempt. */
    boolean hasFailedProbe() {
        return loadProbeFailedNanos > lastReplyNanos;
    }

    /** Returns when the endpoint last replied to an attempt, in nanoseconds. */
    long lastReplyNanos() {
        return lastReplyNanos;
    }

    /** Returns the exponentially decayed number of failures. */
    double failureCount(long now) {
        return failures.sum(now);
    }

    /** Returns the failure rate of recent attempts, from 0 to 1. */
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
     * Records a success. In a trial, a batch that succeeds is followed by one twice as large, and after the
     * largest batch the trial ends.
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
     * Ensures that a trial has a request left to continue with. Called after an end that says nothing about
     * the endpoint, and whenever no attempt is in flight, however the attempts ended: no other event would
     * continue the trial.
     */
    void ensureTrialRequest() {
        trialRequestsLeft = Math.max(1, trialRequestsLeft);
    }

    /**
     * Ejects the endpoint and starts a trial, which awaits the reply to a load probe if load probes are
     * enabled.
     */
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

    /**
     * Records a failed load probe; returns whether it prolonged an ejection, which it does until a probe has
     * succeeded.
     */
    boolean onProbeFailure(long now) {
        loadProbeFailedNanos = now;
        if (confirmedByProbe) {
            return false;
        }
        ejectedUntilNanos = Math.max(ejectedUntilNanos, now + nextEjectionNanos);
        return true;
    }
}
