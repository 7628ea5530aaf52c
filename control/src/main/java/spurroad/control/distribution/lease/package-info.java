/**
 * Relay leases: {@link spurroad.control.distribution.lease.LeaseGrantor} grants a bounded number per group,
 * and {@link spurroad.control.distribution.lease.LeaseClient} requests, holds and renews one. After Gray and
 * Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency" (1989).
 *
 * <p>Invariant: a lease ends at its holder no later than at its grantor, because the holder counts from the
 * time at which it sent the request. The bound on leases per group is not guaranteed across grantors that
 * have no contact with each other, and nothing relies on it. Not thread-safe.
 */
package spurroad.control.distribution.lease;
