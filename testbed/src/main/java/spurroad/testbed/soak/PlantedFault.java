package spurroad.testbed.soak;

/** A violation that the soak itself plants between proxies and their peers, to test its invariant checker. */
public enum PlantedFault {
    /** Nothing is planted. */
    NONE(null),
    /** A response never reaches its client. */
    LOST_ANSWER(Invariant.ANSWERED),
    /** A connection is closed over a request some time after it was sent, before any attempt. */
    LATE_CLOSE(Invariant.ANSWERED),
    /** A write reaches the origin twice. */
    SECOND_RUN(Invariant.RUNS_ONCE),
    /** A write that was executed is reported to its client as rejected. */
    FALSE_REFUSAL(Invariant.REFUSED_NEVER_RAN),
    /** A request goes to a draining cache node. */
    SENT_TO_DRAINED(Invariant.NOTHING_TO_DRAINED),
    /** A request goes to an administratively drained cache node. */
    SENT_TO_OUT_OF_USE(Invariant.NOTHING_TO_OUT_OF_USE),
    /** An attempt starts some time after its client has disconnected. */
    LATE_ATTEMPT(Invariant.NOTHING_FOR_LEFT_CLIENTS),
    /** An attempt states a second too much of remaining time. */
    TOO_MUCH_TIME(Invariant.TIME_LEFT),
    /** A client gets the value of another request. */
    OTHER_VALUE(Invariant.OWN_VALUE),
    /** A proxy exits by itself. */
    CRASH(Invariant.ALIVE),
    /** A proxy that was told to end hangs. */
    HANGING_END(Invariant.ANSWERED),
    /** A proxy is allowed ten descriptors only. */
    LOW_LIMIT(Invariant.WITHIN_LIMITS);

    private final Invariant broken;

    PlantedFault(Invariant broken) {
        this.broken = broken;
    }

    /** Returns the invariant that the fault violates; null for {@link #NONE}. */
    public Invariant broken() {
        return broken;
    }
}
