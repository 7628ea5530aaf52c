/**
 * How changes of configuration and purges reach a large fleet: numbered differences from a replicated core
 * down a tree of relays. Decisions only: every class is told the time (nanoseconds of a monotonic clock of
 * its own process, never going back) and what was received, and hands messages to an
 * {@link spurroad.control.distribution.Outbox}. Messages may be lost, doubled, delayed and reordered. No
 * input or output, no clock, no threads; not for several threads.
 *
 * <p>See {@code docs/design/distribution.md}.
 */
package spurroad.control.distribution;
