package spurroad.balancer.context;

import spurroad.model.Decisions;

/**
 * The event that the load balancer handles now: its time, and where the decisions that it leads to are put.
 *
 * <p>There is one for each load balancer, reused for each event, so that the modules that emit decisions
 * share it instead of passing two arguments along every call. Called from the load balancer's thread only.
 */
public final class EventContext {
    private long nowNanos;
    private Decisions decisions;

    /** Starts an event; times never go back. */
    public void begin(long now, Decisions eventDecisions) {
        nowNanos = now;
        decisions = eventDecisions;
    }

    /** Returns the time of the event, in nanoseconds of the host's clock. */
    public long now() {
        return nowNanos;
    }

    /** Returns what has been decided for the event so far, to be added to. */
    public Decisions decisions() {
        return decisions;
    }
}
