package spurroad.testbed.checker;

/** The four rules that a proxy must keep, whatever fails around it. */
public enum Rule {
    /**
     * Each accepted request gets exactly one final response before its deadline, and the response was made
     * for that request.
     */
    ONE_ANSWER,
    /**
     * No write takes effect twice, and an attempt that may have taken effect is not rejected: a client may
     * retry what was rejected.
     */
    NO_EFFECT_TWICE,
    /** No new request goes to a node that is draining or removed, once the grace period is over. */
    NOTHING_TO_LEAVING,
    /** No node that is warming up is overloaded until it fails. */
    NO_COLD_PUSHED_OVER
}
