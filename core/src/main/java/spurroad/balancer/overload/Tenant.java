package spurroad.balancer.overload;

import spurroad.balancer.peer.UpdateBudget;
import spurroad.balancer.statistics.DecayingAverage;

/**
 * The request rate of a tenant and the fraction of it over quota: at this proxy alone, or, if gossip is
 * enabled and this proxy is the tenant's owner, at all proxies together.
 */
final class Tenant {
    // messages; the over-quota fraction changes slowly
    private static final double CREDIT_PER_REQUEST = 6;
    private static final long NO_MIN_INTERVAL_NANOS = -1; // only the credit limits updates
    private static final long MAX_OVER_QUOTA_AGE_NANOS = 4_000_000_000L; // older fractions are ignored

    private final DecayingAverage requests;
    private final UpdateBudget updateBudget = new UpdateBudget(0, NO_MIN_INTERVAL_NANOS);
    private double overQuotaFraction;
    private long updatedNanos = Long.MIN_VALUE / 2;

    Tenant(long timeConstantNanos) {
        requests = new DecayingAverage(timeConstantNanos);
    }

    /** Returns whether the over-quota fraction is recent enough to be used. */
    boolean isFresh(long now) {
        return now - updatedNanos < MAX_OVER_QUOTA_AGE_NANOS;
    }

    /** Returns the fraction of the tenant's requests, from 0 to 1, that is over quota. */
    double overQuotaFraction() {
        return overQuotaFraction;
    }

    /** Applies the over-quota fraction that the tenant's owner has published. */
    void onOverQuotaUpdate(double fraction, long now) {
        overQuotaFraction = fraction;
        updatedNanos = now;
    }

    /** Counts a request if each proxy limits the tenant on its own, without gossip. */
    void onRequest(double quotaPerSecond, long now) {
        countRequest(quotaPerSecond, now);
        updatedNanos = now;
    }

    /**
     * Counts a request at some proxy, as the tenant's owner, and returns whether to notify all proxies; the
     * credit is then spent.
     *
     * @param quotaPerSecond share of the tenant's quota of each proxy, in requests per second
     */
    boolean onRequestAsOwner(double quotaPerSecond, int proxies, long now) {
        countRequest(proxies * quotaPerSecond, now);
        if (overQuotaFraction <= 0 || !updateBudget.trySpend(now, proxies)) {
            return false;
        }
        updatedNanos = now;
        return true;
    }

    private void countRequest(double quotaPerSecond, long now) {
        requests.addElapsedTime(now);
        requests.add(now, 1, 0);
        // small counts vary by chance: one standard deviation is tolerated
        double allowedRequests = quotaPerSecond * requests.weight(now) / 1e9;
        double toleratedRequests = allowedRequests + Math.sqrt(allowedRequests) + 1;
        overQuotaFraction = Math.max(0, 1 - toleratedRequests / requests.sum(now));
        updateBudget.earn(CREDIT_PER_REQUEST);
    }
}
