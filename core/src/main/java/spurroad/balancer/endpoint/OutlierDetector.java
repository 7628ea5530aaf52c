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
 * Ejects endpoints that fail or stop replying, and returns them to use through a trial.
 *
 * <p>An endpoint is an outlier if its failure rate is clearly above that of all endpoints: a fault that all
 * endpoints share is not attributed to a single one. An endpoint is unresponsive if its attempts in flight
 * have waited, in total, several times the usual response time without a reply. A failed load probe confirms
 * this; without one twice the time is required, because slow requests look like missing replies. If more than
 * half of the endpoints are unresponsive, none is ejected, because the fault is then likely on this proxy's
 * side. {@link OutlierState} describes how an ejected endpoint returns. With gossip this detector is
 * disabled: the owners of the endpoints publish their load, and keys leave slow endpoints.
 */
public final class OutlierDetector {
    private static final double MIN_FAILURES = 1.5; // exponentially decayed count; ignores a single failure
    private static final double FAILURE_RATE_MARGIN = 0.3; // above the failure rate of all endpoints
    // multiple of the usual response time that the attempts in flight have waited in total; rarely reached by
    // chance
    private static final double UNRESPONSIVE_MULTIPLE = 6;
    // above this multiple a load probe is sent, and non-idempotent requests are sent elsewhere
    private static final double SUSPECT_MULTIPLE = UNRESPONSIVE_MULTIPLE / 2;
    // multiple that makes an endpoint unresponsive if no load probe to it has failed
    private static final double UNCONFIRMED_MULTIPLE = 2 * UNRESPONSIVE_MULTIPLE;
    // lower bound of the usual response time, as a fraction of the shortest latency objective
    private static final double MIN_RESPONSE_TIME_FRACTION = 0.1;
    private static final long CHECK_INTERVAL_NANOS = 50_000_000L; // short compared with timeouts
    private static final long NEVER_NANOS = Long.MAX_VALUE;

    private final ActiveDeployment deployment;
    private final EventContext event;
    private final LoadProbes loadProbes;
    private final DecayingAverage failures = new DecayingAverage(DecayingAverage.SHORT_TERM_NANOS);
    private final DecayingAverage responseTime = new DecayingAverage(DecayingAverage.SHORT_TERM_NANOS);
    // endpoints with attempts in flight, or whose trial awaits a load probe
    private final Set<EndpointState> watched = new LinkedHashSet<>();
    private long nextCheckNanos = NEVER_NANOS;

    /** Creates a detector that watches no endpoints yet. */
    public OutlierDetector(ActiveDeployment deployment, EventContext event, LoadProbes loadProbes) {
        this.deployment = deployment;
        this.event = event;
        this.loadProbes = loadProbes;
    }

    /** Starts watching an endpoint to which an attempt is sent. */
    public void onAttemptStart(EndpointState endpoint) {
        watched.add(endpoint);
    }

    /** Stops watching the state of a previous incarnation. */
    void onReplaced(EndpointState previous) {
        watched.remove(previous);
    }

    /**
     * Watches a ready cache endpoint again if its trial awaits a load probe. An endpoint that is not ready is
     * neither probed nor watched, and nothing else would send the probe once it is ready.
     */
    void onReady(EndpointState endpoint) {
        if (awaitsLoadProbe(endpoint)) {
            watched.add(endpoint);
        }
    }

    /**
     * Returns whether an endpoint's trial awaits the reply to a load probe. Evaluated anew each time: a
     * reload may disable load probes while an endpoint awaits one, which would then never be sent.
     */
    private boolean awaitsLoadProbe(EndpointState endpoint) {
        return endpoint.outlier().awaitsLoadProbe(deployment.loadProbesEnabled());
    }

    /** Records that an endpoint replied to an attempt, whatever the outcome. */
    public void onReply(EndpointState endpoint) {
        endpoint.outlier().onReply(event.now());
    }

    /** Returns whether outlier detection allows a request to an endpoint now. */
    public boolean allows(EndpointState endpoint, boolean idempotent) {
        if (deployment.gossipEnabled()) {
            // attempt ends are not reported to the detector, so a trial from before a reload would never end
            return true;
        }
        OutlierState outlier = endpoint.outlier();
        if (outlier.isEjected(event.now())
            || !outlier.trialAllows(idempotent, deployment.loadProbesEnabled())) {
            return false;
        }
        return idempotent || !isUnresponsive(endpoint, SUSPECT_MULTIPLE);
    }

    /** Returns what an endpoint that is ejected or on trial awaits now; null for any other endpoint. */
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
     * Records the end of an attempt at a cache endpoint, and ejects the endpoint if it is an outlier.
     *
     * @param reflectsQueue whether the duration reflects the endpoint's queue; only then a duration above the
     *     latency objective counts as a failure
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
            // an endpoint that replied to other attempts meanwhile is not unresponsive
            case TIMED_OUT -> attempt.endpoint().outlier().lastReplyNanos() < attempt.sentNanos();
            default -> false;
        };
    }

    /** Records whether a load probe was answered; a failed one may prolong an ejection. */
    public void onLoadProbeEnd(EndpointState endpoint, boolean answered) {
        if (answered) {
            endpoint.outlier().onProbeSuccess();
        } else if (endpoint.outlier().onProbeFailure(event.now())) {
            event.decisions().adminStatusChanged = true;
        }
    }

    /**
     * Checks the watched endpoints if a check is due: sends load probes to suspected endpoints, and ejects
     * unresponsive ones.
     *
     * @return the unresponsive endpoints, whose attempts in flight should be moved to others; empty if no
     * check is due or if more than half of the cache endpoints are unresponsive
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

    /**
     * Returns when the next check is due, in nanoseconds; {@link Long#MAX_VALUE} while no endpoint is
     * watched.
     */
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
