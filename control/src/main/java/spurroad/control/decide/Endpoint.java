package spurroad.control.decide;

/**
 * A cache node, or the origin, in the form that is sent to proxies.
 *
 * @param uid unique identifier, the same for all proxies and sources
 * @param address host and port, separated by a colon
 * @param zone availability zone
 * @param kind hardware model
 * @param weight capacity relative to other endpoints, above zero
 * @param status incarnation and state
 */
public record Endpoint(String uid, String address, String zone, String kind, double weight,
                       EndpointStatus status)
    implements
        Comparable<Endpoint> {
    /** Returns a copy of this endpoint with another status. */
    public Endpoint withStatus(EndpointStatus newStatus) {
        return new Endpoint(uid, address, zone, kind, weight, newStatus);
    }

    boolean isIn(EndpointState state) {
        return status.state() == state;
    }

    /** Compares by uid, so that every process orders the same endpoints in the same way. */
    @Override
    public int compareTo(Endpoint other) {
        return uid.compareTo(other.uid);
    }
}
