package spurroad.control.distribution.message;

import spurroad.control.distribution.ProcessId;

/**
 * A process of the fleet. The program that runs it delivers received messages, and calls {@link #onTimer}
 * when the timer is due. Calls must not overlap. Times are nanoseconds of the process's monotonic clock.
 */
public interface Participant {
    /**
     * Handles a message.
     *
     * @param from the process that sent the message
     * @param outbox accepts the messages to send
     */
    void onMessage(long nowNanos, ProcessId from, Message message, Outbox outbox);

    /** Handles all timers that are due. A call before any timer is due has no effect. */
    void onTimer(long nowNanos, Outbox outbox);

    /**
     * Returns the time of the next call of {@link #onTimer}, in nanoseconds; {@code Long.MAX_VALUE} for
     * never. The caller must read it again after each call of another method.
     */
    long nextTimerNanos();
}
