package spurroad.model;

/** Whether a query of a track may run again. */
public enum Effect {
    IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT
}
