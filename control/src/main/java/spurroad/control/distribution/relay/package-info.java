/**
 * A process on an inner level of the distribution tree: {@link spurroad.control.distribution.relay.Relay}
 * subscribes one level up, and publishes to the processes of its group while it holds one of the group's
 * leases.
 *
 * <p>Invariant: a relay has children only while it holds a lease. The purges that its children need when they
 * return after a partition are retained while the relay itself has no parent, and for a minute afterwards.
 * Not thread-safe.
 */
package spurroad.control.distribution.relay;
