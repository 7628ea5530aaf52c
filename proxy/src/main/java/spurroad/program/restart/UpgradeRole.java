package spurroad.program.restart;

/** The role of this process among those that share the directory. */
enum UpgradeRole {
    /** No other process lives. */
    ALONE,
    /** No other process is known to have started later. */
    NEWEST,
    /** A newer process lives, but does not serve yet or is shutting down. */
    SUCCESSOR_NOT_READY,
    /** A newer process serves and is not shutting down. */
    SUCCESSOR_SERVING,
    /** A newer process lives, and this one is shutting down. */
    SHUTTING_DOWN
}
