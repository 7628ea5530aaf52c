package spurroad.testbed.checker;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spurroad.model.Effect;
import spurroad.testbed.model.Answer;
import spurroad.testbed.model.ClientRequest;
import spurroad.testbed.model.Reply;
import spurroad.testbed.model.RequestAttempt;
import spurroad.testbed.model.RequestObserver;
import spurroad.testbed.model.ServerRequest;
import spurroad.testbed.scenario.Scenario.Rules;

/**
 * Checks proxies against the four {@linkplain Rule rules} by the traffic alone, never by what a proxy reports
 * of itself. The gateway reports what clients send and receive, servers report executions and effects, the
 * environment reports what discovery tells each proxy and which proxies the testbed has stopped.
 *
 * <p>An attempt is tracked until {@link #RETENTION_NANOS} after its client's deadline; what a server does for
 * it later is not checked. Not thread-safe: all methods are called on the thread of the environment's
 * timeline, with non-decreasing times.
 */
public final class RuleChecker implements RequestObserver {
    /** Longer than any queue before a server. */
    private static final long RETENTION_NANOS = 5_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Rules rules;
    private final Map<String, TrackedAttempt> attemptsById = new HashMap<>();
    private final Map<ClientRequest, TrackedRequest> requests = new HashMap<>();
    private final Deque<TrackedAttempt> attemptsInOrder = new ArrayDeque<>();
    private final LeavingNodes leavingNodes = new LeavingNodes();
    private final PausedProxies pausedProxies = new PausedProxies();
    private final ViolationLog violations = new ViolationLog();
    private long unanswered;
    private long excused;
    private long accepted;
    private long answered;
    private long executions;
    private long wasted;

    /** Creates a checker with the limits of a scenario. */
    public RuleChecker(Rules rules) {
        this.rules = rules;
    }

    // ---- reported by the clients' gateway

    /** A client is about to send an attempt; called before the first byte is written. */
    public void sending(long timeNanos, RequestAttempt attempt) {
        TrackedRequest request = requests.computeIfAbsent(attempt.request, r -> new TrackedRequest());
        TrackedAttempt tracked = new TrackedAttempt(attempt, request);
        request.attemptStarted();
        attemptsById.put(attempt.id, tracked);
        attemptsInOrder.add(tracked);
        tracked.record(timeNanos, "attempt " + attempt + " sent to p-" + attempt.proxy);
    }

    /** The attempt's last byte was written to a connection that the proxy's host has accepted. */
    public void taken(long timeNanos, RequestAttempt attempt) {
        TrackedAttempt tracked = attemptsById.get(attempt.id);
        if (tracked != null) {
            tracked.accepted(timeNanos);
            accepted++;
        }
    }

    /** A complete response to the attempt arrived. */
    public void answered(long timeNanos, RequestAttempt attempt, Answer answer) {
        TrackedAttempt tracked = attemptsById.get(attempt.id);
        if (tracked == null) {
            return;
        }
        answered++;
        String madeFor = answer.madeForId().isEmpty() ? "" : " made for " + answer.madeForId();
        tracked.record(timeNanos, "attempt " + attempt + " answered " + answer.kind() + madeFor);
        if (tracked.addResponse() > 1) {
            addViolation(Rule.ONE_ANSWER, timeNanos, tracked, "a second final answer");
        }
        if (answer.served() && !answer.madeForId().equals(attempt.id)) {
            addViolation(Rule.ONE_ANSWER, timeNanos, tracked,
                "served with what was made for " + answer.madeForId());
        }
        boolean rejected = answer.kind() == Answer.Kind.REJECTED;
        if (rejected && attempt.request.track.effect() == Effect.NON_IDEMPOTENT && tracked.mayHaveRun()) {
            addViolation(Rule.NO_EFFECT_TWICE, timeNanos, tracked, "rejected, though it may have run");
        }
        if (tracked.isAbandoned()) {
            wasted++;
        }
    }

    /** The client withdrew the attempt: no response is owed any more. */
    public void left(long timeNanos, RequestAttempt attempt) {
        TrackedAttempt tracked = attemptsById.get(attempt.id);
        if (tracked == null || tracked.isAbandoned()) {
            return;
        }
        tracked.abandon();
        tracked.record(timeNanos, "attempt " + attempt + " abandoned by its client");
        if (tracked.isAccepted() && !tracked.hasResponse()) {
            addUnanswered(timeNanos, tracked, "no answer before its client's deadline");
        }
    }

    /** The attempt's connection ended, or failed, without a complete response. */
    public void cutOff(long timeNanos, RequestAttempt attempt) {
        TrackedAttempt tracked = attemptsById.get(attempt.id);
        if (tracked == null || !tracked.isAwaitingResponse()) {
            return;
        }
        tracked.disconnect();
        tracked.record(timeNanos, "attempt " + attempt + " disconnected");
        if (isExcused(tracked)) {
            excused++;
        } else {
            addViolation(Rule.ONE_ANSWER, timeNanos, tracked,
                "lost: its connection ended with no complete answer");
        }
    }

    // ---- reported by servers

    @Override
    public void onExecutionReceived(long timeNanos, String uid, ServerRequest request) {
        executions++;
        TrackedAttempt tracked = attemptsById.get(request.id());
        if (tracked == null) {
            return; // the attempt's deadline passed so long ago that it is no longer tracked
        }
        tracked.record(timeNanos, "execution of " + request.id() + " received by " + uid);
        checkNodeIsNotLeaving(timeNanos, uid, tracked);
        if (request.track().effect() == Effect.NON_IDEMPOTENT && tracked.mayHaveRun()) {
            addViolation(Rule.NO_EFFECT_TWICE, timeNanos, tracked,
                "sent again, though it may have run at " + tracked.possibleServers());
        }
        tracked.executionStarted(uid);
        if (tracked.isWorkWasted()) {
            wasted++;
        }
    }

    private void checkNodeIsNotLeaving(long timeNanos, String uid, TrackedAttempt tracked) {
        int proxy = tracked.attempt.proxy;
        LeavingNodes.Notice notice = leavingNodes.notice(proxy, uid);
        if (notice == null) {
            return;
        }
        long sinceNoticeNanos = timeNanos - notice.timeNanos();
        if (sinceNoticeNanos > rules.graceNs()) {
            addViolation(Rule.NOTHING_TO_LEAVING, timeNanos, tracked, "sent to " + uid + " "
                + sinceNoticeNanos / NANOS_PER_MILLI + " ms after p-" + proxy + " was told that it is "
                + notice.state());
        }
    }

    @Override
    public void onExecutionEnded(long timeNanos, String uid, ServerRequest request, Reply reply) {
        TrackedAttempt tracked = attemptsById.get(request.id());
        if (tracked == null) {
            return;
        }
        String corrupted = reply.spoilt() > 0 ? ", corrupted" : "";
        tracked.record(timeNanos, uid + " answered " + reply.kind() + corrupted);
        if (reply.kind() == Reply.Kind.BUSY || reply.kind() == Reply.Kind.MISS) {
            tracked.executionDeclined(uid);
        }
    }

    @Override
    public void onWriteEffect(long timeNanos, ServerRequest request) {
        TrackedAttempt tracked = attemptsById.get(request.id());
        if (tracked == null) {
            return;
        }
        tracked.record(timeNanos, "write of " + request.id() + " took effect");
        int effects = tracked.request.addEffect();
        if (effects > 1) {
            addViolation(Rule.NO_EFFECT_TWICE, timeNanos, tracked, "took effect " + effects + " times");
        }
    }

    @Override
    public void onOverloadFailure(long timeNanos, String uid, String reason) {
        violations.add(Rule.NO_COLD_PUSHED_OVER,
            () -> new RuleViolation(Rule.NO_COLD_PUSHED_OVER, timeNanos, uid, "failed: " + reason,
                List.of()));
    }

    // ---- reported by the environment

    /**
     * Discovery told a proxy the state of a node.
     *
     * @param how "draining" or "gone"; null when the node is ready
     */
    public void told(long timeNanos, int proxy, String uid, String how) {
        if (how == null) {
            leavingNodes.remove(proxy, uid);
        } else {
            leavingNodes.add(timeNanos, proxy, uid, how);
        }
    }

    /** A proxy restarts and has lost what discovery told it. */
    public void forgets(int proxy) {
        leavingNodes.forget(proxy);
    }

    /** The testbed has stopped or killed a proxy, which can't answer from now on. */
    public void held(long timeNanos, int proxy) {
        pausedProxies.pause(proxy);
    }

    /** The proxy can answer again. */
    public void released(long timeNanos, int proxy) {
        pausedProxies.resume(timeNanos, proxy);
    }

    /**
     * Checks for attempts that were never answered and forgets old ones; to be called several times a second.
     */
    public void sweep(long timeNanos) {
        TrackedAttempt oldest = attemptsInOrder.peek();
        while (oldest != null && timeNanos - oldest.attempt.until > RETENTION_NANOS) {
            attemptsInOrder.remove();
            forget(oldest);
            if (oldest.isAwaitingResponse()) {
                addUnanswered(timeNanos, oldest, "never answered, its connection still open");
            }
            oldest = attemptsInOrder.peek();
        }
    }

    private void forget(TrackedAttempt tracked) {
        attemptsById.remove(tracked.attempt.id, tracked);
        if (tracked.request.attemptForgotten()) {
            requests.remove(tracked.attempt.request);
        }
    }

    private void addUnanswered(long timeNanos, TrackedAttempt tracked, String what) {
        if (isExcused(tracked)) {
            excused++;
            return;
        }
        unanswered++;
        if (rules.unanswered()) {
            addViolation(Rule.ONE_ANSWER, timeNanos, tracked, what);
        }
    }

    /** Returns whether the testbed itself kept the proxy from answering. */
    private boolean isExcused(TrackedAttempt tracked) {
        return pausedProxies.wasPausedSince(tracked.acceptedAtNanos(), tracked.attempt.proxy);
    }

    private void addViolation(Rule rule, long timeNanos, TrackedAttempt tracked, String what) {
        violations.add(rule, () -> new RuleViolation(rule, timeNanos, tracked.attempt.id, what,
            tracked.request.history.lines()));
    }

    // ---- results

    /** Returns the first thousand violations in the order in which they were noticed. */
    public List<RuleViolation> violations() {
        return violations.recorded();
    }

    /** Returns how often a rule was violated. */
    public int count(Rule rule) {
        return violations.count(rule);
    }

    /** Returns how many accepted attempts had no response at their clients' deadline. */
    public long unanswered() {
        return unanswered;
    }

    /** Returns how many attempts had no response because the testbed stopped or killed the proxy. */
    public long excused() {
        return excused;
    }

    /** Returns how many attempts proxies accepted. */
    public long taken() {
        return accepted;
    }

    /** Returns how many responses clients received. */
    public long answered() {
        return answered;
    }

    /** Returns how many executions servers received. */
    public long executions() {
        return executions;
    }

    /** Returns how many executions and responses came too late to be of use to a client. */
    public long wasted() {
        return wasted;
    }
}
