package spurroad.balancer.request;

import java.util.ArrayList;
import java.util.List;
import spurroad.balancer.endpoint.Attempt;
import spurroad.balancer.endpoint.EndpointState;
import spurroad.model.CacheKey;
import spurroad.model.Effect;
import spurroad.model.Outcome;
import spurroad.model.RequestClass;
import spurroad.model.RequestId;

/**
 * A request that has not got its final answer, or has an attempt in flight.
 *
 * <p>Invariants: at most one attempt is in flight; a request waits only while none is; it is finished once,
 * and nothing starts for it afterwards.
 */
public final class PendingRequest {
    private final RequestArrival arrival;
    private final long sequence;
    private final long objectiveEndNanos;
    private final long deadlineNanos;
    private final int maxAttempts;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private final List<EndpointState> excluded = new ArrayList<>(2);
    private int attemptsInFlight;
    private Attempt possiblyExecuted;
    private boolean overQuota;
    private boolean cacheMissed;
    private boolean succeeded;
    private boolean finished;
    private WaitReason waitReason = WaitReason.NONE;
    private int waitCount;
    private PendingReplies pendingReplies;

    /**
     * Creates a request that has just arrived.
     *
     * @param sequence number of the request in the order of arrival
     * @param now time of its arrival in nanoseconds
     * @param maxAttempts bound of the deployment on its attempts
     */
    PendingRequest(RequestArrival arrival, long sequence, long now, int maxAttempts) {
        this.arrival = arrival;
        this.sequence = sequence;
        this.maxAttempts = maxAttempts;
        deadlineNanos = now + arrival.timeoutNanos();
        objectiveEndNanos = Math.min(deadlineNanos, now + arrival.latencyObjectiveNanos());
    }

    RequestId id() {
        return arrival.id();
    }

    RequestClass requestClass() {
        return arrival.requestClass();
    }

    CacheKey key() {
        return arrival.key();
    }

    boolean hasKey() {
        return !arrival.key().equals(CacheKey.NONE);
    }

    boolean isWrite() {
        return arrival.write();
    }

    boolean isIdempotent() {
        return requestClass().effect() == Effect.IDEMPOTENT;
    }

    /** Returns its number in the order of arrival. */
    long sequence() {
        return sequence;
    }

    /** Returns where its key lies on the ring; without a key a random place. */
    long ringPoint() {
        return arrival.ringPoint();
    }

    /** Returns the random draw of this request, from 0 to 1. */
    double requestDraw() {
        return arrival.requestDraw();
    }

    /** Returns the number from 0 to 1 of its ring point, the same at every proxy. */
    double keyDraw() {
        return arrival.keyDraw();
    }

    /** Returns when its latency objective ends, in nanoseconds; never after the deadline. */
    long objectiveEndNanos() {
        return objectiveEndNanos;
    }

    /** Returns when its client stops waiting, in nanoseconds. */
    long deadlineNanos() {
        return deadlineNanos;
    }

    /** Returns the time after which a response has no value for its client, in nanoseconds. */
    long lastUsefulNanos() {
        return requestClass().lateValueFraction() > 0 ? deadlineNanos : objectiveEndNanos;
    }

    /** Returns the bound on its attempts by the deployment under which it arrived. */
    int maxAttempts() {
        return maxAttempts;
    }

    boolean isOverQuota() {
        return overQuota;
    }

    void setOverQuota(boolean isOverQuota) {
        overQuota = isOverQuota;
    }

    /** Returns whether an endpoint reported a cache miss, so that the origin is next. */
    boolean isCacheMissed() {
        return cacheMissed;
    }

    void setCacheMissed(boolean isMissed) {
        cacheMissed = isMissed;
    }

    boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    List<Attempt> attempts() {
        return attempts;
    }

    /** Returns an attempt by its number if it is in flight, else null. */
    Attempt attemptInFlight(int number) {
        if (number >= attempts.size() || !attempts.get(number).isInFlight()) {
            return null;
        }
        return attempts.get(number);
    }

    boolean hasAttemptInFlight() {
        return attemptsInFlight > 0;
    }

    void onAttemptStart(Attempt attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    void onAttemptEnd(Attempt attempt, Outcome outcome) {
        attemptsInFlight--;
        if (possiblyExecuted == null && !outcome.provesNotExecuted()) {
            possiblyExecuted = attempt;
        }
    }

    /** Returns the first attempt that may have had an effect, or null if none has. */
    Attempt possiblyExecuted() {
        return possiblyExecuted;
    }

    /**
     * Returns until when endpoints recognise a repeat, in nanoseconds; Long.MAX_VALUE where nothing may have
     * run that they would have to recognise.
     */
    long deduplicatedUntilNanos() {
        if (possiblyExecuted == null || requestClass().effect() != Effect.DEDUPLICATED) {
            return Long.MAX_VALUE;
        }
        return possiblyExecuted.sentNanos() + requestClass().deduplicationWindowNanos();
    }

    /** Leaves an endpoint out of its further attempts. */
    void exclude(EndpointState endpoint) {
        excluded.add(endpoint);
    }

    boolean excludes(EndpointState endpoint) {
        return excluded.contains(endpoint);
    }

    int excludedCount() {
        return excluded.size();
    }

    boolean hasSucceeded() {
        return succeeded;
    }

    void onSuccess() {
        succeeded = true;
    }

    boolean isFinished() {
        return finished;
    }

    void finish() {
        finished = true;
    }

    WaitReason waitReason() {
        return waitReason;
    }

    /** Returns the number of this wait; an earlier wait of the request has a lower one. */
    int waitNumber() {
        return waitCount;
    }

    void startWait(WaitReason reason) {
        waitReason = reason;
        waitCount++;
    }

    void endWait() {
        waitReason = WaitReason.NONE;
    }

    /**
     * Returns the replies that it waits for, or waited for last; null before the first wait.
     */
    PendingReplies pendingReplies() {
        return pendingReplies;
    }

    void setPendingReplies(PendingReplies newReplies) {
        pendingReplies = newReplies;
    }
}
