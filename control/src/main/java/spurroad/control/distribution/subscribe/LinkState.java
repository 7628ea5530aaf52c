package spurroad.control.distribution.subscribe;

/** The state of the link to a parent. */
enum LinkState {
    /** There is no parent; the next subscription is sent to a candidate when it is due. */
    SEARCHING,
    /** A subscription was sent to a candidate, which has not answered yet. */
    SUBSCRIBING,
    /** The parent has sent an update. */
    ATTACHED;

    /** Returns whether a link may change from this state to another, or to the same state again. */
    boolean canBecome(LinkState next) {
        return switch (next) {
            case SEARCHING -> true; // rejected, lost or abandoned
            case SUBSCRIBING -> this == SEARCHING;
            case ATTACHED -> this == SUBSCRIBING;
        };
    }
}
