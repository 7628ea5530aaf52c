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
 * A request that has no final answer yet or has an attempt in flight.
 *
 * <p>Invariants: at most one attempt is in flight; a request waits only while it has no attempt in flight; it
 * is finished once, and no attempt starts afterwards.
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
     * @param sequence position in the order of arrival
     * @param now arrival time in nanoseconds
     * @param maxAttempts limit on its attempts in the settings at arrival
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

    /** Returns the position in the order of arrival. */
    long sequence() {
        return sequence;
    }

    /** Returns the position of the key on the ring; a random position for a request without a key. */
    long ringPoint() {
        return arrival.ringPoint();
    }

    /** Returns the random draw of this request, from 0 to 1. */
    double requestDraw() {
        return arrival.requestDraw();
    }

    /**
     * Returns the number from 0 to 1 derived from the ring point; for a key it is the same at every proxy.
     */
    double keyDraw() {
        return arrival.keyDraw();
    }

    /** Returns when the latency objective ends, in nanoseconds; never after the deadline. */
    long objectiveEndNanos() {
        return objectiveEndNanos;
    }

    /** Returns when the client stops waiting, in nanoseconds. */
    long deadlineNanos() {
        return deadlineNanos;
    }

    /** Returns the time, in nanoseconds, after which a response has no value for the client. */
    long lastUsefulNanos() {
        return requestClass().lateValueFraction() > 0 ? deadlineNanos : objectiveEndNanos;
    }

    /** Returns the limit on attempts in the settings under which the request arrived. */
    int maxAttempts() {
        return maxAttempts;
    }

    boolean isOverQuota() {
        return overQuota;
    }

    void setOverQuota(boolean isOverQuota) {
        overQuota = isOverQuota;
    }

    /** Returns whether an endpoint reported a cache miss, so that the request goes to the origin next. */
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

    /** Returns the attempt with the given number, or null if it is not in flight. */
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

    /** Returns the first attempt that may have had an effect, or null if there is none. */
    Attempt possiblyExecuted() {
        return possiblyExecuted;
    }

    /**
     * Returns the time, in nanoseconds, until which endpoints recognise a repeat of this request;
     * Long.MAX_VALUE if no attempt may have run or the request class is not deduplicated.
     */
    long deduplicatedUntilNanos() {
        if (possiblyExecuted == null || requestClass().effect() != Effect.DEDUPLICATED) {
            return Long.MAX_VALUE;
        }
        return possiblyExecuted.sentNanos() + requestClass().deduplicationWindowNanos();
    }

    /** Excludes an endpoint from further attempts, as long as another one is available. */
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

    /** Returns the number of the current or last wait, which increases with each wait. */
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

    /** Returns the replies of the current or last wait for replies; null before the first one. */
    PendingReplies pendingReplies() {
        return pendingReplies;
    }

    void setPendingReplies(PendingReplies newReplies) {
        pendingReplies = newReplies;
    }
}
