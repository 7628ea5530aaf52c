package spurroad.simulator;

import spurroad.balancer.LoadBalancer;
import spurroad.configuration.DeploymentSettings;
import spurroad.model.Decisions;

/** One load balancer and the deadline of its timer, which the simulator runs. */
final class SimulatedInstance {
    private static final long NO_TIMER = Long.MAX_VALUE;

    private final LoadBalancer balancer;
    private final EventDecoder decoder;
    private long timerDeadlineNanos = NO_TIMER;

    SimulatedInstance(DeploymentSettings settings, long seed) {
        balancer = new LoadBalancer(settings.deployment, seed);
        decoder = new EventDecoder(settings.reportColumns, settings.endpointNames);
    }

    /** Decodes an event of this instance. */
    SimulatorEvent decode(EventCode code, EventFields fields) {
        return decoder.decode(code, fields);
    }

    /** Delivers an event to the load balancer; propagates its exceptions. */
    void deliver(SimulatorEvent event, long nowNanos, Decisions decisions) {
        if (event instanceof SimulatorEvent.Timer timer && timer.deadlineNanos() == timerDeadlineNanos) {
            timerDeadlineNanos = NO_TIMER;
        }
        event.deliverTo(balancer, nowNanos, decisions);
    }

    /**
     * Sets the timer if the deadline is earlier than the current one. Returns whether it did so, in which
     * case the simulator must be notified. Timers that were set before still expire.
     */
    boolean setTimerIfEarlier(long deadlineNanos) {
        boolean isEarlier = deadlineNanos < timerDeadlineNanos;
        if (isEarlier) {
            timerDeadlineNanos = deadlineNanos;
        }
        return isEarlier;
    }
}
