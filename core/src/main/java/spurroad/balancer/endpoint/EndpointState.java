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
 * All that one proxy knows of one incarnation of an endpoint, in parts by concern.
 *
 * <p>A new start time, or a return to use by operators, makes a new state: observations of the former process
 * do not hold for the new one. Called from the load balancer's thread only.
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
     * Begins an incarnation.
     *
     * @param endpoint as discovery lists it
     * @param previous state of the incarnation before, or null
     * @param returnedNanos when staff returned it to use, in nanoseconds; zero where they did not
     * @param proxyRequests faded number of all requests at this proxy until now
     */
    EndpointState(Endpoint endpoint, EndpointState previous, long returnedNanos, double proxyRequests,
                  long now) {
        this.listing = endpoint;
        admin = new AdminState(returnedNanos, previous == null ? null : previous.admin);
        // at a drained one the requests are long ago, and none fell to it since
        double previousRequests = previous == null || previous.admin.isDrained() ? 0
            : previous.slowStart.firstCandidateRequests(now);
        slowStart = new SlowStart(Math.max(endpoint.startedAtNanos(), returnedNanos), previousRequests,
            proxyRequests, now);
    }

    /** Returns its id. */
    public EndpointId id() {
        return listing.id();
    }

    /** Returns its phase as discovery reports it. */
    public Endpoint listing() {
        return listing;
    }

    void setListing(Endpoint newListing) {
        listing = newListing;
    }

    /** Returns the most restrictive of the phase from discovery and the administrative state. */
    public EndpointPhase phase() {
        return admin.restrict(listing.phase());
    }

    /** Returns whether discovery and staff let it take new requests. */
    public boolean isReady() {
        return phase() == EndpointPhase.READY;
    }

    /** Returns its administrative state. */
    public AdminState admin() {
        return admin;
    }

    /** Returns how far it has warmed up. */
    public SlowStart slowStart() {
        return slowStart;
    }

    /** Returns its load estimate. */
    public LoadEstimate load() {
        return load;
    }

    /** Returns the service time that its completed attempts showed. */
    public ServiceTime serviceTime() {
        return serviceTime;
    }

    /** Returns what outlier detection knows of it. */
    public OutlierState outlier() {
        return outlier;
    }

    /** Returns what this proxy knows of it as its owner. */
    OwnershipState ownership() {
        return ownership;
    }

    /** Returns which fraction of its keys it keeps. */
    CachedFraction cachedFraction() {
        return cachedFraction;
    }

    /** Returns whether a key, by its ring point, has not moved away from it. */
    public boolean retainsKey(long ringPoint, long now) {
        return cachedFraction.retains(ringPoint, listing.id().value(), now);
    }

    /** Returns the estimated queue length in requests, at least the attempts in flight from here. */
    public double queueLength(long now) {
        return load.queueLength(now, inFlight.size());
    }

    /** Returns this proxy's attempts in flight there, the oldest first; not to be changed. */
    public List<Attempt> inFlight() {
        return Collections.unmodifiableList(inFlight);
    }

    /** Returns whether no attempt from here is in flight there. */
    public boolean isIdle() {
        return inFlight.isEmpty();
    }

    /** Records an attempt that is sent to it. */
    public void onAttemptStart(Attempt attempt) {
        inFlight.add(attempt);
        load.onAttemptStart();
        outlier.onAttemptStart();
    }

    /** Takes out an attempt that has ended. */
    public void onAttemptEnd(Attempt attempt) {
        inFlight.remove(attempt);
        if (inFlight.isEmpty()) {
            outlier.ensureTrialRequest();
        }
    }

    /**
     * Returns the time that the attempts in flight have waited since it last replied, in all, in nanoseconds.
     */
    double unansweredNanos(long now) {
        double totalNanos = 0;
        for (Attempt attempt : inFlight) {
            totalNanos += now - Math.max(outlier.lastReplyNanos(), attempt.sentNanos());
        }
        return totalNanos;
    }

    /** Applies its own load report, where that has a queue length. */
    public void onReport(LoadReport report, long now) {
        load.onReport(report, now);
    }

    /** Applies an update that its owner broadcast, or a reply to this proxy. */
    public void onOwnerUpdate(PeerUpdate update, long now) {
        load.onOwnerUpdate(update, now);
        if (update.topic() == PeerUpdate.Topic.LOAD) {
            cachedFraction.set(update.cachedFraction(), now);
        }
    }

    /** As its owner: records that an attempt from some proxy began or ended. */
    void onInFlightUpdate(PeerUpdate update, long now, double defaultServiceTimeNanos) {
        double serviceTimeNanos = ownership.onInFlightUpdate(update, now, load.ownerServiceTimeNanos(),
            defaultServiceTimeNanos);
        load.onOwnerUpdate(ownership.fleetInFlight(now), serviceTimeNanos, now);
    }

    /** As its owner: returns the update to broadcast. */
    PeerUpdate loadUpdate() {
        return new PeerUpdate(PeerUpdate.Topic.LOAD, listing.id().value(), load.reportedQueueLength(),
            (long) load.ownerServiceTimeNanos(), cachedFraction.fraction());
    }

    /** As its owner: returns its queue length, and whether it is likely to have the key cached. */
    PeerUpdate cacheStatus(CacheKey key, long now) {
        boolean cached = ownership.isCached(key, slowStart.startedLongAgo(), now);
        return new PeerUpdate(PeerUpdate.Topic.CACHE_STATUS, listing.id().value(),
            ownership.fleetInFlight(now), (long) load.ownerServiceTimeNanos(), cached ? 1 : 0, key);
    }
}
