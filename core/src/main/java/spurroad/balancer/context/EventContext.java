package spurroad.balancer.context;

import spurroad.model.Decisions;

/**
 * The event that the load balancer is handling: its time, and the decisions that result from it.
 *
 * <p>Each load balancer has one instance, which is reused for each event, so that the modules that make
 * decisions share it instead of passing two arguments along every call. Called from the load balancer's
 * thread only.
 */
public final class EventContext {
    private long nowNanos;
    private Decisions decisions;

    /**
     * Starts the next event.
     *
     * @param now time of the event in nanoseconds, never earlier than that of the previous event
     * @param eventDecisions receives the decisions for the event
     */
    public void begin(long now, Decisions eventDecisions) {
        nowNanos = now;
        decisions = eventDecisions;
    }

    /** Returns the time of the event, in nanoseconds of the host's clock. */
    public long now() {
        return nowNanos;
    }

    /** Returns the decisions for the event so far, to which modules add. */
    public Decisions decisions() {
        return decisions;
    }
}
