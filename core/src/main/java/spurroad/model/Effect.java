package spurroad.model;

/** Whether a request of a class may run more than once. */
public enum Effect {
    /** It may: a second run changes nothing. */
    IDEMPOTENT,
    /** It may if endpoints recognise its idempotency key and discard the repeat. */
    DEDUPLICATED,
    /** It may not. */
    NON_IDEMPOTENT
}
