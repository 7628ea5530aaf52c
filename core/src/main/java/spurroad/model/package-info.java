/**
 * The types that the load balancer and its host exchange: endpoints, requests, tenants, deployments, and
 * decisions.
 *
 * <p>Identifiers are types of their own and compare by their number. Those whose generated methods would be
 * too slow under the C1 compiler define their own {@code equals} and {@code hashCode}. All types are
 * immutable except {@link spurroad.model.Decisions}, which one thread fills and reads.
 */
package spurroad.model;
