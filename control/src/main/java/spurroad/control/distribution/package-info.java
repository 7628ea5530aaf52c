/**
 * Distributes configuration changes and purges to a large fleet: a replicated log at the core orders them,
 * and a tree of relays passes them on as numbered deltas. This package contains the types that all
 * subpackages share. Each subpackage depends only on those before it in this list:
 *
 * <ol>
 * <li>{@code state}: configuration, purges and freshness at one process
 * <li>{@code log}: entries, commands and snapshots of the replicated log
 * <li>{@code message}: all messages, and the interface through which a process receives them
 * <li>{@code codec}: encoding and decoding of messages
 * <li>{@code replication}: the replicated log, based on Raft
 * <li>{@code publish} and {@code subscribe}: the sending and the receiving end of a link
 * <li>{@code lease}: leases that allow processes to act as relays
 * <li>{@code relay} and {@code core}: the processes that combine the packages above</ol>
 *
 * <p>The packages perform no I/O, read no clock and start no threads. The caller passes the time (nanoseconds
 * of its process's monotonic clock) and the received message, and an outbox accepts the messages to send.
 * Only immutable classes are thread-safe.
 *
 * <p>See {@code docs/design/distribution.md}.
 */
package spurroad.control.distribution;
