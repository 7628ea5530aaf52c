package spurroad.balancer;

import spurroad.balancer.context.EventContext;
import spurroad.balancer.endpoint.EndpointOwnership;
import spurroad.balancer.endpoint.EndpointState;
import spurroad.balancer.endpoint.EndpointTable;
import spurroad.balancer.overload.OriginBacklog;
import spurroad.balancer.overload.TenantQuotas;
import spurroad.balancer.request.RequestPipeline;
import spurroad.model.EndpointId;
import spurroad.model.PeerUpdate;

/** Routes each peer update, including those of this proxy to itself, to the module that handles it. */
final class PeerUpdateRouter {
    private final EventContext event;
    private final EndpointTable endpoints;
    private final EndpointOwnership ownership;
    private final OriginBacklog originBacklog;
    private final TenantQuotas tenantQuotas;
    private final RequestPipeline pipeline;

    PeerUpdateRouter(EventContext event, EndpointTable endpoints, EndpointOwnership ownership,
                     OriginBacklog originBacklog, TenantQuotas tenantQuotas, RequestPipeline pipeline) {
        this.event = event;
        this.endpoints = endpoints;
        this.ownership = ownership;
        this.originBacklog = originBacklog;
        this.tenantQuotas = tenantQuotas;
        this.pipeline = pipeline;
    }

    /** Applies an update; updates about unknown endpoints or tenants are ignored. */
    void onUpdate(PeerUpdate update) {
        switch (update.topic()) {
            case ORIGIN_WRITE -> originBacklog.onWriteEnd(update);
            case ORIGIN_ADMISSION -> originBacklog.onAdmissionUpdate(update);
            case TENANT_REQUEST -> tenantQuotas.onTenantRequest(update);
            case OVER_QUOTA -> tenantQuotas.onOverQuotaUpdate(update);
            case IN_FLIGHT, LOAD, CACHE_QUERY, CACHE_STATUS -> {
                EndpointState endpoint = endpoints.get(new EndpointId(update.subject()));
                if (endpoint != null) {
                    onEndpointUpdate(endpoint, update);
                }
            }
        }
    }

    private void onEndpointUpdate(EndpointState endpoint, PeerUpdate update) {
        switch (update.topic()) {
            case IN_FLIGHT -> ownership.onInFlightUpdate(endpoint, update);
            case CACHE_QUERY -> ownership.onCacheQuery(endpoint, update);
            case LOAD -> endpoint.onOwnerUpdate(update, event.now());
            case CACHE_STATUS -> {
                endpoint.onOwnerUpdate(update, event.now());
                pipeline.onCacheStatus(endpoint, update.key(), update.cachedFraction() > 0);
            }
            default -> throw new IllegalArgumentException(
                "expected an update about an endpoint, got " + update.topic());
        }
    }
}
