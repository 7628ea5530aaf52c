package spurroad.control.distribution.log;

/**
 * One entry of the core's replicated log.
 *
 * @param term term of the leader that appended the entry
 * @param command the change of state
 */
public record LogEntry(long term, Command command) {}
