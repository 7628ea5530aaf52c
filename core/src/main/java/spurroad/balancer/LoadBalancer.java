package spurroad.balancer;

import java.util.List;
import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.endpoint.EndpointState;
import spurroad.balancer.endpoint.EndpointTable;
import spurroad.balancer.endpoint.OutlierDetector;
import spurroad.balancer.request.RequestPipeline;
import spurroad.balancer.statistics.DecayingAverage;
import spurroad.model.AdminStatus;
import spurroad.model.CacheKey;
import spurroad.model.Decisions;
import spurroad.model.Deployment;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;
import spurroad.model.PeerUpdate;
import spurroad.model.RequestClassId;
import spurroad.model.RequestId;
import spurroad.model.TenantId;

/**
 * Decides, for one proxy, which endpoint gets a request, whether it is retried, and what is rejected.
 *
 * <p>This class is a facade: it receives events, passes each to the responsible module, and fills
 * {@link Decisions}, which the host executes. It performs no I/O, reads no clock and starts no threads; the
 * same deployment, seed and events always result in the same decisions. docs/design.md describes what each
 * module decides.
 *
 * <p>Each {@code on…} method handles one event. Times are nanoseconds of the host's clock and never decrease;
 * {@code decisions} must be empty, and be cleared before the next event. The host calls {@link #onTimer} at
 * {@link Decisions#wakeAtNanos} unless another event comes first. Not thread-safe.
 */
public final class LoadBalancer {
    private final BalancerModules modules;
    private final ActiveDeployment deployment;
    private final EventContext event;
    private final EndpointTable endpoints;
    private final OutlierDetector outlierDetector;
    private final RequestPipeline pipeline;
    private final DecayingAverage proxyRequests;
    private final DiscoveryPolling discovery;

    /** Creates a load balancer without any endpoints; the seed determines all of its random draws. */
    public LoadBalancer(Deployment settings, long seed) {
        modules = new BalancerModules(settings, seed);
        deployment = modules.deployment();
        event = modules.event();
        endpoints = modules.endpoints();
        outlierDetector = modules.outlierDetector();
        pipeline = modules.pipeline();
        proxyRequests = modules.proxyRequests();
        discovery = modules.discovery();
    }

    /**
     * Applies an endpoint update from discovery.
     *
     * @param complete whether the list is complete, so that endpoints missing from it are removed; otherwise
     *     it contains changes only
     */
    public void onEndpointUpdate(long now, List<Endpoint> listed, boolean complete, Decisions decisions) {
        beginEvent(now, decisions);
        endpoints.update(listed, complete, proxyRequests.sum(now), now);
        decisions.adminStatusChanged = true;
        boolean first = discovery.onEndpointUpdate();
        decisions.pollDiscovery = first && deployment.settings().pollsDiscovery();
        endEvent();
    }

    /** Handles a failed call to discovery or the end of its subscription: polls again after a backoff. */
    public void onDiscoveryFailure(long now, Decisions decisions) {
        beginEvent(now, decisions);
        discovery.onFailure(now);
        endEvent();
    }

    /**
     * Drains an endpoint administratively, so that no attempts start there, or returns it to use as a cold
     * endpoint. Repeated calls have no effect; the endpoint need not be listed.
     */
    public void onAdminDrain(long now, EndpointId id, boolean drained, Decisions decisions) {
        beginEvent(now, decisions);
        boolean changed = drained ? endpoints.drain(id)
            : endpoints.returnToUse(id, proxyRequests.sum(now), now);
        decisions.adminStatusChanged |= changed;
        endEvent();
    }

    /**
     * Replaces the settings. Requests in progress keep their request class, and the lower of the old and the
     * new maximum number of attempts applies to them.
     */
    public void onDeploymentChange(long now, Deployment settings, Decisions decisions) {
        beginEvent(now, decisions);
        deployment.replace(settings);
        modules.tenantQuotas().onDeploymentChange();
        endpoints.refresh();
        decisions.adminStatusChanged = true;
        endEvent();
    }

    /**
     * Handles the arrival of a request. It gets exactly one final answer: a success that the host reports
     * itself, or one of {@link Decisions#responses}.
     *
     * @param id unique among the requests that have no final answer yet
     * @param workNanos rough estimate of the request's cost, in nanoseconds; zero if unknown
     * @param timeoutNanos how long the client waits for the answer, in nanoseconds
     */
    public void onRequest(long now, RequestId id, RequestClassId requestClass, TenantId tenant, CacheKey key,
                          boolean write, long workNanos, long timeoutNanos, Decisions decisions) {
        beginEvent(now, decisions);
        proxyRequests.add(now, 1, 0);
        pipeline.onRequest(id, requestClass, tenant, key, write, workNanos, timeoutNanos);
        endEvent();
    }

    /**
     * Handles the end of an attempt; ignored if the attempt is not in flight.
     *
     * @param number index of the attempt within its request, from 0
     * @param report load that the endpoint reported along with the outcome
     * @param completesRequest whether the host has given the request its final answer with this attempt
     * @param proxyDelayNanos part of the attempt's duration during which this proxy itself was stalled, in
     *     nanoseconds
     */
    public void onAttemptEnd(long now, RequestId id, int number, Outcome outcome, LoadReport report,
                             boolean completesRequest, long proxyDelayNanos, Decisions decisions) {
        beginEvent(now, decisions);
        pipeline.onAttemptEnd(id, number, outcome, report, completesRequest, proxyDelayNanos);
        endEvent();
    }

    /** Handles the reply to a load probe, or its failure; ignored if the endpoint is unknown. */
    public void onLoadProbeEnd(long now, EndpointId id, Outcome outcome, LoadReport report,
                               Decisions decisions) {
        beginEvent(now, decisions);
        EndpointState endpoint = endpoints.get(id);
        if (endpoint != null) {
            boolean answered = outcome == Outcome.SUCCEEDED;
            modules.loadProbes().onEnd(endpoint);
            outlierDetector.onLoadProbeEnd(endpoint, answered);
            if (answered) {
                endpoint.onReport(report, now);
                pipeline.onLoadReport(endpoint);
            }
        }
        endEvent();
    }

    /** Applies an update from another proxy: a hint that expires, and on which no rule depends. */
    public void onPeerUpdate(long now, PeerUpdate update, Decisions decisions) {
        beginEvent(now, decisions);
        modules.peerUpdates().onUpdate(update);
        endEvent();
    }

    /** Handles the disconnection of a request's client; the request gets no response. */
    public void onClientDisconnect(long now, RequestId id, Decisions decisions) {
        beginEvent(now, decisions);
        pipeline.onClientDisconnect(id);
        endEvent();
    }

    /** Handles a timer, at the time that an earlier event requested or at any other time. */
    public void onTimer(long now, Decisions decisions) {
        beginEvent(now, decisions);
        endEvent();
    }

    /**
     * Sets whether to skip optional work: retries beyond the credit already saved in the retry budget, and
     * load probes that no request waits for.
     */
    public void conserveResources(boolean conserve) {
        pipeline.conserveResources(conserve);
    }

    /** Returns the administrative status of the cache endpoints, as of the last event. */
    public AdminStatus adminStatus() {
        return endpoints.adminStatus();
    }

    /** Returns the number of known endpoints, including those that were removed. */
    int knownEndpointCount() {
        return endpoints.size();
    }

    private void beginEvent(long now, Decisions decisions) {
        event.begin(now, decisions);
        proxyRequests.sum(now); // decays at each event, so that its value depends on the events alone
    }

    private void endEvent() {
        long now = event.now();
        pipeline.endWaits();
        if (discovery.clearIfDue(now)) {
            event.decisions().pollDiscovery = true;
        }
        for (EndpointState unresponsive : outlierDetector.check(endpoints)) {
            pipeline.onUnresponsive(unresponsive);
        }
        pipeline.startAtOrigin();
        long nextWaitOrCloseNanos = Math.min(pipeline.nextWaitEndNanos(),
            modules.idleConnections().closeExpired());
        long nextPollOrCheckNanos = Math.min(discovery.nextPollNanos(), outlierDetector.scheduleNextCheck());
        event.decisions().wakeAtNanos = Math.min(nextWaitOrCloseNanos, nextPollOrCheckNanos);
    }
}
