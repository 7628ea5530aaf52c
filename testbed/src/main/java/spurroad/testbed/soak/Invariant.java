package spurroad.testbed.soak;

/** What must hold under all faults. */
public enum Invariant {
    /** Each request that a proxy has accepted gets one complete final response before its deadline. */
    ANSWERED,
    /** A write that isn't idempotent by itself takes effect at most once. */
    RUNS_ONCE,
    /** A rejected write has not run, if a retry would make it run twice. */
    REFUSED_NEVER_RAN,
    /** No new request goes to a node that discovery reports as draining or gone, after a grace period. */
    NOTHING_TO_DRAINED,
    /** No new request goes to an administratively drained node, once the drain was confirmed. */
    NOTHING_TO_OUT_OF_USE,
    /** No attempt starts for a client that has disconnected, after a tenth of a second. */
    NOTHING_FOR_LEFT_CLIENTS,
    /** No attempt states more remaining time than its client has. */
    TIME_LEFT,
    /** A response carries what a server made for that request. */
    OWN_VALUE,
    /** No process exits unless it was told to, and a started process is ready within 30 s. */
    ALIVE,
    /** The proxy's own rule monitor counts no violation. */
    OWN_CHECKS,
    /** A process stays within its limits on descriptors and memory. */
    WITHIN_LIMITS
}
