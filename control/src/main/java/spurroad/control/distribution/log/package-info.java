/**
 * Data of the core's replicated log: entries with a term and a command
 * ({@link spurroad.control.distribution.log.LogEntry}), and the snapshot that replaces compacted entries
 * ({@link spurroad.control.distribution.log.LogSnapshot}). The data is immutable, and used by messages and by
 * the replicas in {@code replication}.
 */
package spurroad.control.distribution.log;
