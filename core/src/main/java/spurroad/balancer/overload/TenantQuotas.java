package spurroad.balancer.overload;

import java.util.ArrayList;
import java.util.List;
import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.balancer.context.RandomDraws;
import spurroad.balancer.peer.PeerUpdates;
import spurroad.balancer.statistics.DecayingAverage;
import spurroad.model.PeerUpdate;
import spurroad.model.TenantId;

/**
 * Decides which requests are over their tenant's quota: a fraction of the tenant's requests, drawn at random.
 *
 * <p>Without gossip each proxy compares the tenant's local rate with its own share of the quota; with gossip
 * the tenant's owner compares the rate at all proxies with the whole quota, as some proxies are busier than
 * others. Being over quota does not by itself reject a request: {@link LoadShedder} does so under overload.
 */
public final class TenantQuotas {
    private final ActiveDeployment deployment;
    private final EventContext event;
    private final RandomDraws random;
    private final PeerUpdates peers;
    private final List<Tenant> tenants = new ArrayList<>(); // indexed by tenant

    /** Creates the quotas of the deployment's tenants. */
    public TenantQuotas(ActiveDeployment deployment, EventContext event, RandomDraws random,
                        PeerUpdates peers) {
        this.deployment = deployment;
        this.event = event;
        this.random = random;
        this.peers = peers;
        onDeploymentChange();
    }

    /** Adjusts the number of tenants to the deployment; the state of remaining tenants is retained. */
    public void onDeploymentChange() {
        int count = deployment.settings().tenantQuotasPerSecond().size();
        if (tenants.size() > count) {
            tenants.subList(count, tenants.size()).clear();
        }
        while (tenants.size() < count) {
            tenants.add(new Tenant(deployment.gossipEnabled() ? DecayingAverage.SHORT_TERM_NANOS
                : DecayingAverage.LONG_TERM_NANOS));
        }
    }

    /** Reports a request to its tenant's owner, which counts it; the tenant may be unknown. */
    public void countRequest(TenantId tenant) {
        peers.sendToOwner(tenant.value(),
            new PeerUpdate(PeerUpdate.Topic.TENANT_REQUEST, tenant.value(), 1));
    }

    /** Draws whether a request counts as over its tenant's quota; never true for an unknown tenant. */
    public boolean drawOverQuota(TenantId id) {
        Tenant tenant = find(id.value());
        return tenant != null && tenant.isFresh(event.now())
            && random.overQuotaDraw() < tenant.overQuotaFraction();
    }

    /** Counts a request at some proxy, as its tenant's owner, and notifies all proxies if that is due. */
    public void onTenantRequest(PeerUpdate update) {
        Tenant tenant = find(update.subject());
        if (tenant == null) {
            return;
        }
        double quotaPerSecond = deployment.settings().tenantQuotasPerSecond().get((int) update.subject());
        if (!deployment.gossipEnabled()) {
            tenant.onRequest(quotaPerSecond, event.now());
        } else if (tenant.onRequestAsOwner(quotaPerSecond, deployment.fleet().proxyCount(), event.now())) {
            peers.sendToAll(new PeerUpdate(PeerUpdate.Topic.OVER_QUOTA, update.subject(),
                tenant.overQuotaFraction()));
        }
    }

    /** Applies the over-quota fraction that a tenant's owner has published. */
    public void onOverQuotaUpdate(PeerUpdate update) {
        Tenant tenant = find(update.subject());
        if (tenant != null) {
            tenant.onOverQuotaUpdate(update.value(), event.now());
        }
    }

    private Tenant find(long index) {
        return index >= 0 && index < tenants.size() ? tenants.get((int) index) : null;
    }
}
