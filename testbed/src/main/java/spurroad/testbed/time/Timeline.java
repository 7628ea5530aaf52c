package spurroad.testbed.time;

/**
 * The clock of an environment, and the events that wait on it. One thread runs all events, in the order of
 * their times; those of the same time in the order in which they were scheduled. The same models run on
 * simulated and on real time.
 */
public interface Timeline {
    /** A scheduled event. Cancelling it twice, or after it ran, does nothing. */
    interface Alarm {
        /** Keeps the event from running. */
        void cancel();
    }

    /** Returns the nanoseconds since the environment began; never goes back. */
    long now();

    /** Schedules an event at a time; one in the past runs right after the event that runs now. */
    Alarm at(long timeNs, Runnable work);

    /** Schedules an event after a delay in nanoseconds. */
    default Alarm after(long ns, Runnable work) {
        return at(now() + Math.max(0, ns), work);
    }
}
