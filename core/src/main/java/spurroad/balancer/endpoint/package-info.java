/**
 * What a proxy knows about each endpoint and derives from it: which endpoints are in use, how long their
 * queues are, which are outliers, and how far they have warmed up.
 *
 * <p>{@link spurroad.balancer.endpoint.EndpointTable} holds all endpoints from discovery with their
 * administrative states, and the {@link spurroad.balancer.endpoint.Ring} of those in use.
 * {@link spurroad.balancer.endpoint.EndpointState} is the state of one endpoint, grouped by concern.
 * {@link spurroad.balancer.endpoint.ServiceTimeModel} converts queue lengths to times,
 * {@link spurroad.balancer.endpoint.OutlierDetector} ejects endpoints, and
 * {@link spurroad.balancer.endpoint.EndpointOwnership} publishes the load of endpoints that this proxy owns.
 *
 * <p>Invariants: a restart, or a return to use by operators, creates a new state; a drain by operators takes
 * precedence over everything else. Thread: the load balancer's.
 */
package spurroad.balancer.endpoint;
