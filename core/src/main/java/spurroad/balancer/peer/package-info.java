/**
 * Gossip between proxies, if the deployment allows it.
 *
 * <p>Each endpoint, each tenant and the origin has one proxy as its owner, found by hashing its id, which is
 * notified of all its events and publishes the aggregate to the others.
 * {@link spurroad.balancer.peer.PeerUpdates} sends updates, {@link spurroad.balancer.peer.OwnershipState}
 * holds an owner's state of an endpoint, and {@link spurroad.balancer.peer.UpdateBudget} bounds the number of
 * messages by the requests of the fleet.
 *
 * <p>Invariant: updates are hints that expire and may be lost, duplicated or wrong; what may be sent or
 * answered never depends on them. Used from the load balancer's thread only.
 */
package spurroad.balancer.peer;
