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
 * <p>A facade: it takes events, passes each to the module that it concerns, and fills {@link Decisions},
 * which its host carries out. It does no I/O, reads no clock and starts no thread; with the same deployment,
 * seed and events it decides the same. What each module decides stands in docs/design.md.
 *
 * <p>Each {@code on…} method is one event: times are nanoseconds of the host's clock and never go back, and
 * {@code decisions} is an empty object, to be cleared before the next event. The host calls {@link #onTimer}
 * at {@link Decisions#wakeAtNanos}, unless another event came first. Not safe for use by several threads.
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

    /** Creates a load balancer that knows no endpoint yet; the seed is that of all its random draws. */
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
     * @param complete whether endpoints that are not listed have gone; else these are changes
     */
    public void onEndpointUpdate(long now, List<Endpoint> listed, boolean complete, Decisions decisions) {
        begin(now, decisions);
        endpoints.update(listed, complete, proxyRequests.sum(now), now);
        decisions.adminStatusChanged = true;
        boolean first = discovery.onEndpointUpdate();
        decisions.pollDiscovery = first && deployment.settings().pollsDiscovery();
        end();
    }

    /** Handles that a call to discovery failed or its subscription ended: it is polled after a backoff. */
    public void onDiscoveryFailure(long now, Decisions decisions) {
        begin(now, decisions);
        discovery.onFailure(now);
        end();
    }

    /**
     * Handles that operators drain an endpoint, so that nothing starts there, or return it to use, cold.
     * Repeats do nothing; an endpoint need not be listed.
     */
    public void onAdminDrain(long now, EndpointId id, boolean drained, Decisions decisions) {
        begin(now, decisions);
        boolean changed = drained ? endpoints.drain(id)
            : endpoints.returnToUse(id, proxyRequests.sum(now), now);
        decisions.adminStatusChanged |= changed;
        end();
    }

    /**
     * Takes up other settings; requests under way keep their class, and the lower of two bounds on attempts.
     */
    public void onDeploymentChange(long now, Deployment settings, Decisions decisions) {
        begin(now, decisions);
        deployment.replace(settings);
        modules.tenantQuotas().onDeploymentChange();
        endpoints.refresh();
        decisions.adminStatusChanged = true;
        end();
    }

    /**
     * Handles the arrival of a request, which gets exactly one final answer: a success that the host reports
     * itself, or one of {@link Decisions#responses}.
     *
     * @param id unique among the requests that have no final answer yet
     * @param workNanos a rough hint of what the request costs; zero without one
     * @param timeoutNanos how long its client waits
     */
    public void onRequest(long now, RequestId id, RequestClassId requestClass, TenantId tenant, CacheKey key,
                          boolean write, long workNanos, long timeoutNanos, Decisions decisions) {
        begin(now, decisions);
        proxyRequests.add(now, 1, 0);
        pipeline.onRequest(id, requestClass, tenant, key, write, workNanos, timeoutNanos);
        end();
    }

    /**
     * Handles the end of an attempt; one that is not in flight is ignored.
     *
     * @param number of the attempt among those of its request, from 0
     * @param report what the endpoint reported of its load with the end
     * @param last whether the host has given the request its final answer by this
     * @param proxyDelayNanos part of the attempt's time for which this proxy itself was stalled
     */
    public void onAttemptEnd(long now, RequestId id, int number, Outcome outcome, LoadReport report,
                             boolean last, long proxyDelayNanos, Decisions decisions) {
        begin(now, decisions);
        pipeline.onAttemptEnd(id, number, outcome, report, last, proxyDelayNanos);
        end();
    }

    /** Handles the reply to a load probe, or its failure. */
    public void onLoadProbeEnd(long now, EndpointId id, Outcome outcome, LoadReport report,
                               Decisions decisions) {
        begin(now, decisions);
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
        end();
    }

    /** Applies an update from another proxy: a hint that ages, and that no rule rests on. */
    public void onPeerUpdate(long now, PeerUpdate update, Decisions decisions) {
        begin(now, decisions);
        modules.peerUpdates().onUpdate(update);
        end();
    }

    /** Handles the disconnect of a request's client; it gets no response. */
    public void onClientDisconnect(long now, RequestId id, Decisions decisions) {
        begin(now, decisions);
        pipeline.onClientDisconnect(id);
        end();
    }

    /** Handles a timer: the time that an earlier event requested, or any other. */
    public void onTimer(long now, Decisions decisions) {
        begin(now, decisions);
        end();
    }

    /**
     * Sets whether to skip optional work: further retries, and probes that no request waits for.
     */
    public void conserveResources(boolean conserve) {
        pipeline.conserveResources(conserve);
    }

    /** Returns the administrative status of the cache endpoints, as of the last event. */
    public AdminStatus adminStatus() {
        return endpoints.adminStatus();
    }

    /** Returns how many endpoints are known, also those that have gone. */
    int knownEndpoints() {
        return endpoints.size();
    }

    private void begin(long now, Decisions decisions) {
        event.begin(now, decisions);
        proxyRequests.sum(now); // fades with each event, so that its value depends on the events alone
    }

    private void end() {
        long now = event.now();
        pipeline.endWaits();
        if (discovery.isDue(now)) {
            event.decisions().pollDiscovery = true;
        }
        for (EndpointState unresponsive : outlierDetector.check(endpoints)) {
            pipeline.onUnresponsive(unresponsive);
        }
        pipeline.startAtOrigin();
        long nextWaitOrClose = Math.min(pipeline.nextWaitEndNanos(),
            modules.idleConnections().closeExpired());
        long nextPollOrCheck = Math.min(discovery.nextPollNanos(), outlierDetector.scheduleNextCheck());
        event.decisions().wakeAtNanos = Math.min(nextWaitOrClose, nextPollOrCheck);
    }
}
