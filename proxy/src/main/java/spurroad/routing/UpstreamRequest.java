package spurroad.routing;

import spurroad.protocol.MetaCommand;
import spurroad.transport.EventLoop;
import spurroad.transport.GrowthBudget;

/**
 * An attempt to serve a request at an endpoint, or a load probe, which has no request. It is created on the
 * load balancer's thread and used on the event loop afterwards, where the endpoint's
 * {@link EndpointConnectionPool} ends it exactly once. Times are Unix nanoseconds.
 */
final class UpstreamRequest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The request; null for a load probe. */
    final ProxiedRequest request;
    /** The index of this attempt among the attempts of its request, from 0. */
    final int index;
    final EndpointConnectionPool pool;
    /** The time by which the reply must have arrived. */
    final long deadlineNanos;
    /**
     * The time by which the last byte must be sent, or else the attempt must not be sent: an endpoint would
     * no longer recognize a later retry as one.
     */
    final long sendDeadlineNanos;
    /** The total time for which this process had been stalled when the attempt was decided on. */
    final long stalledNanosAtDecision;

    // the fields below are maintained by the pool
    /** Whether the first byte was sent. */
    boolean firstByteSent;
    /** Whether the last byte may have been sent. */
    boolean fullySent;
    EndpointConnection connection;
    EventLoop.Timer timeout;
    long startedAtNanos;
    /** The incarnation of the endpoint for which the attempt was decided on. */
    int incarnation;
    boolean ended;
    /** The long value of the reply, or null if the reply has none. */
    LongResponse longResponse;
    /** The memory of the reply's response, or null if none was reserved for it. */
    GrowthBudget.Reservation responseMemory;

    UpstreamRequest(ProxiedRequest request, int index, EndpointConnectionPool pool, long deadlineNanos,
                    long sendDeadlineNanos, long stalledNanosAtDecision) {
        this.request = request;
        this.index = index;
        this.pool = pool;
        this.deadlineNanos = deadlineNanos;
        this.sendDeadlineNanos = sendDeadlineNanos;
        this.stalledNanosAtDecision = stalledNanosAtDecision;
    }

    boolean isLoadProbe() {
        return request == null;
    }

    /**
     * Returns the time left that is sent to the endpoint, in milliseconds: no more than the request has left
     * when its first byte is sent, and at least 1, because an endpoint treats 0 as an expired request.
     */
    long timeLeftMillis(long now) {
        return Math.max(1, (deadlineNanos - now) / NANOS_PER_MILLI);
    }

    /** Returns whether the deadline of a request has passed; always false for a load probe. */
    boolean isOverdue(long now) {
        return !isLoadProbe() && now >= deadlineNanos;
    }

    /** Returns whether no client waits for the response any more; always false for a load probe. */
    boolean isAbandoned() {
        return !isLoadProbe() && request.isAbandoned();
    }

    /** Gives up a reply whose response is not needed. Called on the event loop only. */
    void abandonReply() {
        if (longResponse != null) {
            longResponse.abandon();
        }
        if (responseMemory != null) {
            responseMemory.release();
        }
    }

    @Override
    public String toString() {
        return isLoadProbe() ? "load probe" : "request=" + request.command.id() + " attempt=" + (index + 1);
    }

    /** Returns the request's command, or null for a load probe. */
    MetaCommand command() {
        return isLoadProbe() ? null : request.command;
    }
}
