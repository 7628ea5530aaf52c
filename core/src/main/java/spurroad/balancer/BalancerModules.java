package spurroad.balancer;

import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.context.RandomDraws;
import spurroad.balancer.endpoint.EndpointOwnership;
import spurroad.balancer.endpoint.EndpointTable;
import spurroad.balancer.endpoint.IdleConnections;
import spurroad.balancer.endpoint.LoadProbes;
import spurroad.balancer.endpoint.OutlierDetector;
import spurroad.balancer.endpoint.ServiceTimeModel;
import spurroad.balancer.overload.ConcurrencyLimit;
import spurroad.balancer.overload.LoadShedder;
import spurroad.balancer.overload.OriginBacklog;
import spurroad.balancer.overload.TenantQuotas;
import spurroad.balancer.peer.PeerUpdates;
import spurroad.balancer.request.AttemptDispatch;
import spurroad.balancer.request.AttemptFeedback;
import spurroad.balancer.request.CandidateFinder;
import spurroad.balancer.request.CandidateSelection;
import spurroad.balancer.request.EndpointAvailability;
import spurroad.balancer.request.ExpectedLatency;
import spurroad.balancer.request.OriginFetch;
import spurroad.balancer.request.RequestPipeline;
import spurroad.balancer.request.RetryBudget;
import spurroad.balancer.request.RetryPolicy;
import spurroad.balancer.request.WaitQueue;
import spurroad.balancer.statistics.DecayingAverage;
import spurroad.model.Deployment;
import spurroad.model.PeerUpdate;

/**
 * Creates the decision modules of one load balancer and passes to each the modules that it depends on, so
 * that modules with fewer dependencies come first. Makes no decisions itself.
 */
final class BalancerModules {
    private final ActiveDeployment deployment;
    private final EventContext event = new EventContext();
    private final RandomDraws random;
    private final DecayingAverage proxyRequests = new DecayingAverage(DecayingAverage.LONG_TERM_NANOS);
    private final DiscoveryPolling discovery;
    private final LoadProbes loadProbes;
    private final OutlierDetector outlierDetector;
    private final EndpointTable endpoints;
    private final IdleConnections idleConnections;
    private final ServiceTimeModel serviceTimes;
    private final PeerUpdates peers;
    private final EndpointOwnership ownership;
    private final TenantQuotas tenantQuotas;
    private final OriginBacklog originBacklog;
    private final RequestPipeline pipeline;
    private final PeerUpdateRouter peerUpdates;

    BalancerModules(Deployment settings, long seed) {
        deployment = new ActiveDeployment(settings);
        random = new RandomDraws(seed);
        discovery = new DiscoveryPolling(random);
        loadProbes = new LoadProbes(deployment, event);
        outlierDetector = new OutlierDetector(deployment, event, loadProbes);
        endpoints = new EndpointTable(deployment, random, outlierDetector);
        idleConnections = new IdleConnections(deployment, event);
        serviceTimes = new ServiceTimeModel(deployment, endpoints);
        peers = new PeerUpdates(deployment, event, this::onLocalUpdate);
        ownership = new EndpointOwnership(deployment, event, endpoints, serviceTimes, peers);
        tenantQuotas = new TenantQuotas(deployment, event, random, peers);
        originBacklog = new OriginBacklog(deployment, event, peers);
        pipeline = createPipeline();
        peerUpdates = new PeerUpdateRouter(event, endpoints, ownership, originBacklog, tenantQuotas,
            pipeline);
    }

    private RequestPipeline createPipeline() {
        ConcurrencyLimit originLimit = new ConcurrencyLimit();
        WaitQueue waitQueue = new WaitQueue(deployment, event);
        RetryBudget retryBudget = new RetryBudget(deployment);
        RetryPolicy retryPolicy = new RetryPolicy(deployment, event, retryBudget);
        LoadShedder loadShedder = new LoadShedder(deployment, event, random, originBacklog);
        OriginFetch originFetch = new OriginFetch(deployment, event, endpoints, serviceTimes, originLimit,
            waitQueue);
        CandidateSelection selection = createSelection(loadShedder, retryPolicy, waitQueue);
        AttemptFeedback feedback = new AttemptFeedback(deployment, event, endpoints, serviceTimes,
            originLimit, idleConnections, outlierDetector, ownership, peers);
        AttemptDispatch dispatch = new AttemptDispatch(deployment, event, endpoints, outlierDetector,
            idleConnections, ownership, retryPolicy, feedback);
        return new RequestPipeline(deployment, event, random, endpoints, tenantQuotas, loadShedder,
            originFetch, selection, dispatch, retryPolicy, retryBudget, waitQueue);
    }

    private CandidateSelection createSelection(LoadShedder loadShedder, RetryPolicy retryPolicy,
                                               WaitQueue waitQueue) {
        EndpointAvailability availability = new EndpointAvailability(deployment, event, outlierDetector,
            loadShedder, proxyRequests);
        CandidateFinder finder = new CandidateFinder(deployment, event, endpoints, availability, retryPolicy);
        ExpectedLatency latency = new ExpectedLatency(deployment, event, endpoints, serviceTimes,
            loadShedder, originBacklog);
        return new CandidateSelection(deployment, event, random, finder, availability, latency, loadProbes,
            ownership, waitQueue);
    }

    /**
     * Handles the updates that this proxy sends to itself as an owner. The router depends on all other
     * modules and is created last, so those get a reference to this method instead.
     */
    private void onLocalUpdate(PeerUpdate update) {
        peerUpdates.onUpdate(update);
    }

    ActiveDeployment deployment() {
        return deployment;
    }

    EventContext event() {
        return event;
    }

    /** Returns the exponentially decayed count of requests at this proxy; the load balancer updates it. */
    DecayingAverage proxyRequests() {
        return proxyRequests;
    }

    DiscoveryPolling discovery() {
        return discovery;
    }

    LoadProbes loadProbes() {
        return loadProbes;
    }

    OutlierDetector outlierDetector() {
        return outlierDetector;
    }

    EndpointTable endpoints() {
        return endpoints;
    }

    IdleConnections idleConnections() {
        return idleConnections;
    }

    TenantQuotas tenantQuotas() {
        return tenantQuotas;
    }

    RequestPipeline pipeline() {
        return pipeline;
    }

    PeerUpdateRouter peerUpdates() {
        return peerUpdates;
    }
}
