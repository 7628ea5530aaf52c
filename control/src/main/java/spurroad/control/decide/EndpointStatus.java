package spurroad.control.decide;

/**
 * The status of an endpoint as a source reports it: an incarnation and the state in it. Statuses form a
 * join-semilattice: the later of two incarnations wins, and within one incarnation the more restrictive state
 * wins. The order and repetition of reports therefore do not affect the result, and a source that is late or
 * partitioned can't reactivate an endpoint that another source has reported as draining or gone.
 *
 * @param startedAtMillis start of the incarnation, Unix time in milliseconds; 0 if unknown
 * @param state the state in that incarnation
 */
public record EndpointStatus(long startedAtMillis, EndpointState state) {
    /** Returns the least upper bound of both statuses. */
    public EndpointStatus join(EndpointStatus other) {
        if (startedAtMillis != other.startedAtMillis) {
            return startedAtMillis > other.startedAtMillis ? this : other;
        }
        return state.compareTo(other.state) >= 0 ? this : other;
    }
}
