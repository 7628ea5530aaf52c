/**
 * The receiving end of a distribution link: {@link spurroad.control.distribution.subscribe.Subscriber} finds
 * a parent among candidates, applies its updates in order and once each, and searches for another parent when
 * the current one has timed out, rejects the subscription, or has lost its own parent.
 *
 * <p>Invariants: the state never regresses, whatever parents send; only messages of the current parent are
 * handled; and freshness is claimed only after an update without a gap. Backoff grows with failures and has
 * random jitter, so that children that lost the same parent at once do not subscribe to another one at the
 * same time. Not thread-safe.
 */
package spurroad.control.distribution.subscribe;
