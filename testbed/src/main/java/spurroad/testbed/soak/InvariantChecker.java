package spurroad.testbed.soak;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import spurroad.testbed.soak.SoakRequest.ConnectionUse;
import spurroad.testbed.soak.SoakRequest.Effect;
import spurroad.testbed.soak.SoakRequest.End;

/**
 * Checks the {@linkplain Invariant invariants} of proxies by what clients, servers and discovery observe.
 * Attempts are checked when they arrive, the ends of requests in {@link #result}. What the soak itself causes
 * is {@linkplain Exemptions exempt}, and times allow for the {@linkplain SchedulingDelay delays} of its
 * threads.
 *
 * <p>Thread-safe; times are of {@link System#nanoTime}.
 */
final class InvariantChecker {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** A response may be this much later than the deadline. */
    private static final long ANSWER_GRACE_NANOS = 500 * NANOS_PER_MILLI;
    /**
     * A close that crosses a request has ended the connection when the request arrives, or does so at the end
     * of the proxy's look for input: the client finds it within this time, its own delays aside.
     */
    private static final long CROSSING_CLOSE_NANOS = 5 * NANOS_PER_MILLI;
    /** An attempt may already be on its way when the client disconnects. */
    private static final long DISCONNECT_GRACE_NANOS = 100 * NANOS_PER_MILLI;
    private static final long REMAINING_TIME_SLACK_MS = 150;
    /** The grace period for draining nodes in the soak's settings. */
    private static final long DRAIN_GRACE_NANOS = 500 * NANOS_PER_MILLI;
    /** For so long after a pause, what a proxy sends may be late. */
    private static final long PAUSE_EFFECT_NANOS = 400 * NANOS_PER_MILLI;
    private static final String SENT_AFTER_END = "sent after the end";

    private final long runStartNanos = System.nanoTime();
    private final Map<String, SoakRequest> requestsById = new HashMap<>();
    private final Map<String, Integer> writeEffectsByKey = new HashMap<>();
    private final Map<End, Integer> endCounts = new EnumMap<>(End.class);
    private final ProhibitedServers draining = new ProhibitedServers();
    private final ProhibitedServers administrativelyDrained = new ProhibitedServers();
    private final Exemptions exemptions = new Exemptions();
    private final InvariantViolations violations = new InvariantViolations(runStartNanos);
    private final SchedulingDelay schedulingDelay = new SchedulingDelay();
    private final Map<String, Integer> crossings = new TreeMap<>(); // by what the client saw
    private long attemptCount;
    private int killedAtEnd; // processes that were still there at the earliest kill

    /** Creates a checker, and starts to measure how late the soak's own threads run. */
    InvariantChecker() {
        schedulingDelay.start();
    }

    // ---- reported by clients

    /** A client is about to send a request; called before its first byte is written. */
    synchronized void onSending(SoakRequest request) {
        requestsById.put(request.id, request);
    }

    /** Whether the connection of a request had ended right before its first byte was written. */
    synchronized void onLook(SoakRequest request, boolean hasEnded) {
        request.sentAfterEnd = hasEnded;
    }

    /** A request's last byte has been written; its timeout starts. */
    synchronized void onSent(SoakRequest request) {
        request.sentAtNanos = System.nanoTime();
    }

    /**
     * A request has ended for its client.
     *
     * @param precedingAnsweredAtNanos when the response to the request before it on the connection arrived; 0
     *     if there was none
     */
    synchronized void onEnd(SoakRequest request, End end, String answer, long precedingAnsweredAtNanos) {
        request.end = end;
        request.answer = answer;
        request.endedAtNanos = System.nanoTime();
        request.precedingAnsweredAtNanos = precedingAnsweredAtNanos;
        request.delayMillisAtEnd = schedulingDelay.recentMillis();
    }

    /** The client has disconnected before the response. */
    synchronized void onAbandoned(SoakRequest request) {
        request.end = End.ABANDONED;
        request.abandonedAtNanos = System.nanoTime();
    }

    /** A response is not what a server made for the request. */
    synchronized void onWrongValue(SoakRequest request, String response) {
        addViolation(Invariant.OWN_VALUE, response + ": " + describe(request));
    }

    // ---- reported by servers

    /**
     * The first line of an attempt has arrived from a proxy.
     *
     * @param remainingMs the remaining time that the attempt states
     */
    synchronized void onAttempt(int proxy, String server, String id, long remainingMs) {
        long now = System.nanoTime();
        attemptCount++;
        if (CrowdBehavior.isCrowdRequest(id)) {
            return; // only its effect on other clients is checked
        }
        SoakRequest request = requestsById.get(id);
        if (request == null) {
            addViolation(Invariant.OWN_VALUE,
                "an attempt at a request that no client sent: " + id + " at " + server);
            return;
        }
        request.attempts.add(new SoakRequest.Attempt(now, server));
        long slackNanos = schedulingDelay.recentSlackNanos();
        if (exemptions.wasPaused(proxy, now - PAUSE_EFFECT_NANOS, now)) {
            slackNanos += REMAINING_TIME_SLACK_MS * NANOS_PER_MILLI;
        }
        checkNotAbandoned(request, now, slackNanos);
        checkRemainingTime(request, remainingMs, now, slackNanos);
        checkServerAllowed(request, proxy, server, now, slackNanos);
    }

    private void checkNotAbandoned(SoakRequest request, long now, long slackNanos) {
        if (!request.isAbandoned()) {
            return;
        }
        long sinceNanos = now - request.abandonedAtNanos;
        if (sinceNanos > DISCONNECT_GRACE_NANOS + slackNanos) {
            addViolation(Invariant.NOTHING_FOR_LEFT_CLIENTS,
                sinceNanos / NANOS_PER_MILLI + " ms after the client disconnected: " + describe(request));
        }
    }

    /** An attempt may always state 1 ms, because that is the least that can be stated. */
    private void checkRemainingTime(SoakRequest request, long remainingMs, long now, long slackNanos) {
        long elapsedMs = request.isSent() ? (now - request.sentAtNanos) / NANOS_PER_MILLI : 0;
        long slackMs = REMAINING_TIME_SLACK_MS + slackNanos / NANOS_PER_MILLI;
        if (remainingMs > 1 && remainingMs > request.timeoutMs - elapsedMs + slackMs) {
            addViolation(Invariant.TIME_LEFT, "attempt states " + remainingMs + " ms, " + elapsedMs
                + " ms had elapsed: " + describe(request));
        }
    }

    private void checkServerAllowed(SoakRequest request, int proxy, String server, long now,
                                    long slackNanos) {
        long drainingNanos = draining.prohibitedForNanos(proxy, server, now);
        if (drainingNanos > DRAIN_GRACE_NANOS + slackNanos) {
            addViolation(Invariant.NOTHING_TO_DRAINED, drainingNanos / NANOS_PER_MILLI
                + " ms after discovery reported the drain: " + describe(request));
        }
        long drainedNanos = administrativelyDrained.prohibitedForNanos(proxy, server, now);
        if (drainedNanos > slackNanos) {
            addViolation(Invariant.NOTHING_TO_OUT_OF_USE, drainedNanos / NANOS_PER_MILLI
                + " ms after the drain was confirmed: " + describe(request));
        }
    }

    /**
     * A server has executed an attempt.
     *
     * @param hadEffect false if the server recognized a repeat
     */
    synchronized void onExecution(String id, boolean hadEffect) {
        SoakRequest request = requestsById.get(id);
        if (request == null) {
            return;
        }
        request.executions++;
        if (!hadEffect || request.effect == Effect.READ) {
            return;
        }
        int effects = writeEffectsByKey.merge(request.key, 1, Integer::sum);
        if (effects > 1) {
            addViolation(Invariant.RUNS_ONCE, effects + " effects: " + describe(request));
        }
    }

    // ---- reported by discovery and operators

    /** Discovery has reported to all processes of a proxy that a node is draining. */
    synchronized void onDrainReported(int proxy, String server) {
        draining.prohibit(proxy, server);
    }

    /** A node is back as a new process. */
    synchronized void onNodeRestarted(int proxy, String server) {
        draining.allow(proxy, server);
    }

    /** A proxy has confirmed that it administratively drains a node. */
    synchronized void onAdminDrainConfirmed(int proxy, String server) {
        administrativelyDrained.prohibit(proxy, server);
    }

    /** An operator is about to end the administrative drain of a node. */
    synchronized void onAdminDrainEnding(int proxy, String server) {
        administrativelyDrained.allow(proxy, server);
    }

    /** A proxy has started that doesn't know the administrative drains of the one before. */
    synchronized void onAdminDrainsForgotten(int proxy) {
        administrativelyDrained.allowAll(proxy);
    }

    // ---- reported by the soak itself

    /** A proxy was killed, and could not answer in a time span. */
    synchronized void exemptKill(int proxy, long startNanos, long endNanos) {
        exemptions.addKill(proxy, startNanos, endNanos);
    }

    /** No process of a proxy had to accept connections in a time span, because it was told to end before. */
    synchronized void exemptNewConnections(int proxy, long startNanos, long endNanos) {
        exemptions.addNotAccepting(proxy, startNanos, endNanos);
    }

    /** A proxy was paused in a time span. */
    synchronized void exemptPause(int proxy, long startNanos, long endNanos) {
        exemptions.addPause(proxy, startNanos, endNanos);
    }

    /** A process that was told to end was still there when it was killed, at the earliest time allowed. */
    synchronized void onKilledAtEnd() {
        killedAtEnd++;
    }

    /** Adds a violation that was found elsewhere. */
    synchronized void addViolation(Invariant invariant, String description) {
        violations.add(invariant,
            description + "; own threads late by " + schedulingDelay.recentMillis() + " ms");
    }

    // ---- queries for planted faults

    /** Returns whether the client of a request is going to disconnect before the response. */
    synchronized boolean willBeAbandoned(String id) {
        SoakRequest request = requestsById.get(id);
        return request != null && request.willBeAbandoned;
    }

    /**
     * Returns a server that discovery told a proxy to avoid, past its grace period; null if there is none.
     */
    synchronized String drainingServer(int proxy) {
        return draining.prohibitedForLongerThan(proxy, 2 * DRAIN_GRACE_NANOS);
    }

    /** Returns a server that an operator told a proxy to avoid, some time ago; null if there is none. */
    synchronized String administrativelyDrainedServer(int proxy) {
        return administrativelyDrained.prohibitedForLongerThan(proxy, 2 * DRAIN_GRACE_NANOS);
    }

    // ---- results

    /** Checks the ends of all requests, and returns the result of the run; to be called once, at its end. */
    synchronized SoakResult result() {
        schedulingDelay.finish();
        requestsById.values().forEach(this::checkEnd);
        return new SoakResult(requestsById.size(), attemptCount, Map.copyOf(endCounts), Map.copyOf(crossings),
            killedAtEnd, violations.counts(), violations.recorded(), schedulingDelay.maxMillis());
    }

    private String describe(SoakRequest request) {
        String sentAt = request.isSent()
            ? Long.toString((request.sentAtNanos - runStartNanos) / NANOS_PER_MILLI) : "?";
        return request + ", sent at " + sentAt + " ms";
    }

    private void checkEnd(SoakRequest request) {
        endCounts.merge(request.end, 1, Integer::sum);
        if (request.effect == Effect.UNSAFE_WRITE && request.end == End.REJECTED && request.executions > 0) {
            addViolation(Invariant.REFUSED_NEVER_RAN, describe(request));
        }
        if (!isAnswerOwed(request)) {
            return;
        }
        switch (request.end) {
            case TIMED_OUT -> addViolation(Invariant.ANSWERED, "no response: " + describe(request));
            case DISCONNECTED -> checkDisconnect(request);
            default -> checkAnswerTime(request);
        }
    }

    private boolean isAnswerOwed(SoakRequest request) {
        if (!request.isSent() || request.end == End.OPEN || request.end == End.ABANDONED) {
            return false;
        }
        boolean wasKilled = exemptions.wasKilled(request.proxy, request.sentAtNanos, request.endedAtNanos);
        return !wasKilled && !exemptions.wasNeverAccepted(request);
    }

    /**
     * A proxy may close an idle connection while a request is on its way, which the client then sends again.
     * The close and the request cross, so that such a close arrives soon after the request was sent, unless
     * it had arrived before.
     */
    private void checkDisconnect(SoakRequest request) {
        crossings.merge(request.sentAfterEnd ? SENT_AFTER_END : request.answer, 1, Integer::sum);
        long afterNanos = request.endedAtNanos - request.startNanos();
        if (request.connectionUse == ConnectionUse.FRESH || !request.attempts.isEmpty()) {
            addViolation(Invariant.ANSWERED, "disconnected: " + describe(request));
        } else if (!request.sentAfterEnd && afterNanos > CROSSING_CLOSE_NANOS + ownDelayNanos(request)) {
            addViolation(Invariant.ANSWERED, "disconnected without an attempt after "
                + afterNanos / NANOS_PER_MILLI + " ms: " + describe(request));
        }
    }

    /** Returns by how much the soak itself may have delayed what a request's client saw. */
    private long ownDelayNanos(SoakRequest request) {
        boolean paused = exemptions.wasPaused(request.proxy, request.startNanos(), request.endedAtNanos);
        return (request.delayMillisAtEnd + (paused ? SoakSettings.PAUSE_MS : 0)) * NANOS_PER_MILLI;
    }

    private void checkAnswerTime(SoakRequest request) {
        long timeoutNanos = request.timeoutMs * NANOS_PER_MILLI;
        long lateNanos = request.endedAtNanos - request.startNanos() - timeoutNanos - ANSWER_GRACE_NANOS;
        if (lateNanos > schedulingDelay.maxSlackNanos()) {
            addViolation(Invariant.ANSWERED,
                "late by " + lateNanos / NANOS_PER_MILLI + " ms: " + describe(request));
        }
    }
}
