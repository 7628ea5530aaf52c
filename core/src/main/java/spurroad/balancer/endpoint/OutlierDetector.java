package spurroad.balancer.endpoint;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.statistics.DecayingAverage;
import spurroad.model.AdminStatus.AwaitedEvent;
import spurroad.model.AdminStatus.RestrictedEndpoint;
import spurroad.model.Outcome;

/**
 * Ejects endpoints that fail or fall silent, and brings them back by trial.
 *
 * <p>An endpoint is an outlier if its failed fraction is clearly over that of all: a fault that all share is
 * no endpoint's own. It is unresponsive if its attempts in flight have waited, in all, several times the
 * usual response time without a reply; a failed load probe confirms that, without one twice the time is
 * needed, as heavy requests look like silence. Where over half of the endpoints are silent, none is ejected:
 * the fault is then likely ours. {@link OutlierState} holds how an endpoint comes back. With gossip this
 * detector is off: the owners of the endpoints publish their load, and keys leave those that are slow.
 */
public final class OutlierDetector {
    private static final double MIN_FAILURES = 1.5; // more than one mishap
    private static final double FAILURE_RATE_MARGIN = 0.3; // over the failed fraction of all endpoints
    // times the usual response time, over all attempts in flight: chance hardly makes it
    private static final double UNRESPONSIVE_MULTIPLE = 6;
    private static final double SUSPECT_MULTIPLE = UNRESPONSIVE_MULTIPLE / 2;
    private static final double UNCONFIRMED_MULTIPLE = 2 * UNRESPONSIVE_MULTIPLE;
    private static final double MIN_RESPONSE_TIME_FRACTION = 0.1; // of the shortest latency objective
    private static final long CHECK_INTERVAL_NANOS = 50_000_000L; // short beside time-outs
    private static final long NEVER_NANOS = Long.MAX_VALUE;

    private final ActiveDeployment deployment;
    private final EventContext event;
    private final LoadProbes loadProbes;
    private final DecayingAverage failures = new DecayingAverage(DecayingAverage.SHORT_TERM_NANOS);
    private final DecayingAverage responseTime = new DecayingAverage(DecayingAverage.SHORT_TERM_NANOS);
    // with attempts in flight, or with a trial that waits for a load probe
    private final Set<EndpointState> watched = new LinkedHashSet<>();
    private long nextCheckNanos = NEVER_NANOS;

    /** Creates a detector that watches no endpoint yet. */
    public OutlierDetector(ActiveDeployment deployment, EventContext event, LoadProbes loadProbes) {
        this.deployment = deployment;
        this.event = event;
        this.loadProbes = loadProbes;
    }

    /** Watches an endpoint that gets an attempt. */
    public void onAttemptStart(EndpointState endpoint) {
        watched.add(endpoint);
    }

    /** Stops watching a former incarnation. */
    void onReplaced(EndpointState previous) {
        watched.remove(previous);
    }

    /**
     * Watches a ready cache endpoint again whose trial waits for a load probe: what is not ready gets none
     * and is not watched, and nothing else would have the probe sent once it is ready.
     */
    void onReady(EndpointState endpoint) {
        if (awaitsLoadProbe(endpoint)) {
            watched.add(endpoint);
        }
    }

    /**
     * Returns whether an endpoint's trial waits for a load probe to be answered. Asked anew each time: a
     * reload may forbid load probes while an endpoint waits for one, which then nobody would send.
     */
    private boolean awaitsLoadProbe(EndpointState endpoint) {
        return endpoint.outlier().awaitsLoadProbe(deployment.loadProbesEnabled());
    }

    /** Records that an endpoint replied to an attempt, whatever the outcome. */
    public void onReply(EndpointState endpoint) {
        endpoint.outlier().onReply(event.now());
    }

    /** Returns whether outlier detection lets an endpoint take a request now. */
    public boolean allows(EndpointState endpoint, boolean idempotent) {
        if (deployment.gossipEnabled()) {
            return true; // nobody tells it how attempts end, so a trial from before a reload would not go on
        }
        OutlierState outlier = endpoint.outlier();
        if (outlier.isEjected(event.now())
            || !outlier.trialAllows(idempotent, deployment.loadProbesEnabled())) {
            return false;
        }
        return idempotent || !isUnresponsive(endpoint, SUSPECT_MULTIPLE);
    }

    /** Returns what an endpoint that is ejected or on trial waits for now; null for another one. */
    RestrictedEndpoint restriction(EndpointState endpoint) {
        OutlierState outlier = endpoint.outlier();
        if (deployment.gossipEnabled()) {
            return null;
        }
        if (outlier.isEjected(event.now())) {
            return new RestrictedEndpoint(endpoint.id(), AwaitedEvent.EJECTION_END,
                outlier.ejectedUntilNanos());
        }
        if (awaitsLoadProbe(endpoint)) {
            return new RestrictedEndpoint(endpoint.id(), AwaitedEvent.LOAD_PROBE_REPLY, Long.MAX_VALUE);
        }
        return outlier.isOnTrial()
            ? new RestrictedEndpoint(endpoint.id(), AwaitedEvent.TRIAL_SUCCESS, Long.MAX_VALUE) : null;
    }

    /**
     * Learns from an attempt's end at a cache endpoint.
     *
     * @param reflectsQueue whether the time reflects the endpoint's queue
     * @param durationNanos duration of the attempt, without stalls of this proxy
     */
    public void onAttemptEnd(Attempt attempt, Outcome outcome, boolean reflectsQueue, long durationNanos) {
        long now = event.now();
        if (outcome == Outcome.SUCCEEDED) {
            responseTime.add(now, (double) durationNanos, 1);
        } else {
            responseTime.add(now, 0, 0);
        }
        OutlierState outlier = attempt.endpoint().outlier();
        boolean late = reflectsQueue && durationNanos > attempt.requestClass().latencyObjectiveNanos();
        boolean failed = late || isFailure(attempt, outcome);
        failures.add(now, failed ? 1 : 0, 1);
        if (failed) {
            outlier.onFailure(now);
            if (outlier.isOnTrial() || exceedsFailureRateThreshold(outlier)) {
                eject(attempt.endpoint());
            }
        } else if (outcome.hasReply() && outcome != Outcome.REJECTED) {
            outlier.onSuccess(now);
        } else {
            outlier.ensureTrialRequest();
        }
    }

    private boolean exceedsFailureRateThreshold(OutlierState outlier) {
        long now = event.now();
        double maxFailureRate = FAILURE_RATE_MARGIN + failures.mean(now, DecayingAverage.PRIOR_WEIGHT, 0);
        return outlier.failureCount(now) >= MIN_FAILURES && outlier.failureRate(now) > maxFailureRate;
    }

    private static boolean isFailure(Attempt attempt, Outcome outcome) {
        return switch (outcome) {
            case FAILED, CONNECTION_LOST, NO_CONNECTION -> true;
            // one that replied to others meanwhile is not silent
            case TIMED_OUT -> attempt.endpoint().outlier().lastReplyNanos() < attempt.sentNanos();
            default -> false;
        };
    }

    /** Records whether a load probe was answered. */
    public void onLoadProbeEnd(EndpointState endpoint, boolean answered) {
        if (answered) {
            endpoint.outlier().onProbeSuccess();
        } else if (endpoint.outlier().onProbeFailure(event.now())) {
            event.decisions().adminStatusChanged = true;
        }
    }

    /**
     * Looks for unresponsive endpoints, if that is due: probes those that are suspect, and ejects and returns
     * those that are unresponsive, whose attempts in flight are then better made elsewhere.
     */
    public List<EndpointState> check(EndpointTable endpoints) {
        if (nextCheckNanos > event.now()) {
            return List.of();
        }
        nextCheckNanos = NEVER_NANOS;
        watched.removeIf(endpoint -> endpoints.isOrigin(endpoint) || !needsWatching(endpoint));
        List<EndpointState> unresponsive = findUnresponsive();
        if (2 * unresponsive.size() > endpoints.cacheEndpoints().size()) {
            return List.of();
        }
        for (EndpointState endpoint : unresponsive) {
            if (!endpoint.outlier().isEjected(event.now())) {
                eject(endpoint);
            }
        }
        return unresponsive;
    }

    /** Returns when the next check is due; while no endpoint is watched none is. */
    public long scheduleNextCheck() {
        if (nextCheckNanos == NEVER_NANOS && !watched.isEmpty()) {
            nextCheckNanos = event.now() + CHECK_INTERVAL_NANOS;
        }
        return nextCheckNanos;
    }

    private boolean needsWatching(EndpointState endpoint) {
        return !endpoint.isIdle() || (awaitsLoadProbe(endpoint) && endpoint.isReady());
    }

    private List<EndpointState> findUnresponsive() {
        List<EndpointState> unresponsive = new ArrayList<>();
        for (EndpointState endpoint : watched) {
            OutlierState outlier = endpoint.outlier();
            double multiple = outlier.hasFailedProbe() ? UNRESPONSIVE_MULTIPLE : UNCONFIRMED_MULTIPLE;
            if (isUnresponsive(endpoint, multiple)) {
                unresponsive.add(endpoint);
            } else if (isUnresponsive(endpoint, SUSPECT_MULTIPLE)
                || (awaitsLoadProbe(endpoint) && !outlier.isEjected(event.now()))) {
                loadProbes.send(endpoint);
            }
        }
        return unresponsive;
    }

    private boolean isUnresponsive(EndpointState endpoint, double multiple) {
        if (deployment.gossipEnabled()) {
            return false;
        }
        double minResponseNanos = MIN_RESPONSE_TIME_FRACTION * deployment.shortestObjectiveNanos();
        double meanResponseNanos = Math.max(minResponseNanos,
            responseTime.mean(event.now(), 1, minResponseNanos));
        return endpoint.unansweredNanos(event.now()) > multiple * meanResponseNanos;
    }

    private void eject(EndpointState endpoint) {
        endpoint.outlier().eject(event.now());
        event.decisions().adminStatusChanged = true;
        watched.add(endpoint);
    }
}
