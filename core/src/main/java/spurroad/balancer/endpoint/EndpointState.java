package spurroad.balancer.endpoint;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import spurroad.balancer.peer.OwnershipState;
import spurroad.model.CacheKey;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointPhase;
import spurroad.model.LoadReport;
import spurroad.model.PeerUpdate;

/**
 * Everything that one proxy knows about one incarnation of an endpoint, grouped by concern.
 *
 * <p>A new start time, or a return to use by operators, creates a new state: observations of the previous
 * process do not hold for the new one. Called from the load balancer's thread only.
 */
public final class EndpointState {
    private Endpoint listing;
    private final AdminState admin;
    private final SlowStart slowStart;
    private final LoadEstimate load = new LoadEstimate();
    private final ServiceTime serviceTime = new ServiceTime();
    private final OutlierState outlier = new OutlierState();
    private final OwnershipState ownership = new OwnershipState();
    private final CachedFraction cachedFraction = new CachedFraction();
    private final List<Attempt> inFlight = new ArrayList<>();

    /**
     * Creates the state of a new incarnation.
     *
     * @param endpoint the endpoint as discovery lists it
     * @param previous state of the previous incarnation, or null
     * @param returnedNanos when operators returned the endpoint to use, in nanoseconds; zero if they did not
     * @param proxyRequests exponentially decayed number of all requests at this proxy until now
     */
    EndpointState(Endpoint endpoint, EndpointState previous, long returnedNanos, double proxyRequests,
                  long now) {
        this.listing = endpoint;
        admin = new AdminState(returnedNanos, previous == null ? null : previous.admin);
        // the count of a drained endpoint is outdated: requests have had other first candidates since
        double previousRequests = previous == null || previous.admin.isDrained() ? 0
            : previous.slowStart.firstCandidateRequests(now);
        slowStart = new SlowStart(Math.max(endpoint.startedAtNanos(), returnedNanos), previousRequests,
            proxyRequests, now);
    }

    /** Returns the endpoint's id. */
    public EndpointId id() {
        return listing.id();
    }

    /** Returns the endpoint as discovery last listed it. */
    public Endpoint listing() {
        return listing;
    }

    void setListing(Endpoint newListing) {
        listing = newListing;
    }

    /** Returns the more restrictive of the phase from discovery and the administrative state. */
    public EndpointPhase phase() {
        return admin.restrict(listing.phase());
    }

    /** Returns whether both discovery and operators allow new requests to the endpoint. */
    public boolean isReady() {
        return phase() == EndpointPhase.READY;
    }

    /** Returns the administrative state, as operators set it. */
    public AdminState admin() {
        return admin;
    }

    /** Returns the warm-up state, which limits the requests sent to a cold endpoint. */
    public SlowStart slowStart() {
        return slowStart;
    }

    /** Returns the estimate of the queue length. */
    public LoadEstimate load() {
        return load;
    }

    /** Returns the service time measured from completed attempts. */
    public ServiceTime serviceTime() {
        return serviceTime;
    }

    /** Returns the state of outlier detection for the endpoint. */
    public OutlierState outlier() {
        return outlier;
    }

    /** Returns the state that this proxy keeps as the endpoint's owner. */
    OwnershipState ownership() {
        return ownership;
    }

    /** Returns the fraction of its keys that the endpoint keeps. */
    CachedFraction cachedFraction() {
        return cachedFraction;
    }

    /**
     * Returns whether a key, given by its ring point, stays at the endpoint instead of moving to another one.
     */
    public boolean retainsKey(long ringPoint, long now) {
        return cachedFraction.retains(ringPoint, listing.id().value(), now);
    }

    /** Returns the estimated queue length in requests, at least the attempts of this proxy in flight. */
    public double queueLength(long now) {
        return load.queueLength(now, inFlight.size());
    }

    /** Returns an unmodifiable view of this proxy's attempts in flight at the endpoint, the oldest first. */
    public List<Attempt> inFlight() {
        return Collections.unmodifiableList(inFlight);
    }

    /** Returns whether no attempt of this proxy is in flight at the endpoint. */
    public boolean isIdle() {
        return inFlight.isEmpty();
    }

    /** Records an attempt that is sent to the endpoint. */
    public void onAttemptStart(Attempt attempt) {
        inFlight.add(attempt);
        load.onAttemptStart();
        outlier.onAttemptStart();
    }

    /** Removes an attempt that has ended. */
    public void onAttemptEnd(Attempt attempt) {
        inFlight.remove(attempt);
        if (inFlight.isEmpty()) {
            outlier.ensureTrialRequest();
        }
    }

    /**
     * Returns the total time in nanoseconds that the attempts in flight have waited since the endpoint's last
     * reply.
     */
    double unansweredNanos(long now) {
        double totalNanos = 0;
        for (Attempt attempt : inFlight) {
            totalNanos += now - Math.max(outlier.lastReplyNanos(), attempt.sentNanos());
        }
        return totalNanos;
    }

    /** Applies the endpoint's own load report, if it contains a queue length. */
    public void onReport(LoadReport report, long now) {
        load.onReport(report, now);
    }

    /** Applies an update that the endpoint's owner broadcast or sent in reply to this proxy. */
    public void onOwnerUpdate(PeerUpdate update, long now) {
        load.onOwnerUpdate(update, now);
        if (update.topic() == PeerUpdate.Topic.LOAD) {
            cachedFraction.set(update.cachedFraction(), now);
        }
    }

    /** Records, as the owner, that an attempt from some proxy began or ended. */
    void onInFlightUpdate(PeerUpdate update, long now, double defaultServiceTimeNanos) {
        double serviceTimeNanos = ownership.onInFlightUpdate(update, now, load.ownerServiceTimeNanos(),
            defaultServiceTimeNanos);
        load.onOwnerUpdate(ownership.fleetInFlight(now), serviceTimeNanos, now);
    }

    /** Returns the update that the owner broadcasts to all proxies. */
    PeerUpdate loadUpdate() {
        return new PeerUpdate(PeerUpdate.Topic.LOAD, listing.id().value(), load.reportedQueueLength(),
            (long) load.ownerServiceTimeNanos(), cachedFraction.fraction());
    }

    /**
     * Returns, as the owner, a reply with the queue length and whether the endpoint is likely to have the key
     * cached.
     */
    PeerUpdate cacheStatus(CacheKey key, long now) {
        boolean cached = ownership.isCached(key, slowStart.startedLongAgo(), now);
        return new PeerUpdate(PeerUpdate.Topic.CACHE_STATUS, listing.id().value(),
            ownership.fleetInFlight(now), (long) load.ownerServiceTimeNanos(), cached ? 1 : 0, key);
    }
}
