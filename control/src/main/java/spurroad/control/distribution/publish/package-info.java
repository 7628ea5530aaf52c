/**
 * The sending end of a distribution link: {@link spurroad.control.distribution.publish.Publisher} accepts
 * children at a limited rate, and sends each child the changes that it lacks. A child has a position and a
 * window of unacknowledged updates; updates are created from the state when the window is open, so slow
 * children need no queue.
 *
 * <p>Invariant: a child is sent an age only together with all purges, so that it never counts as fresh while
 * it lacks a purge. After a loss, updates are sent again from the acknowledged position. Not thread-safe.
 */
package spurroad.control.distribution.publish;
