/**
 * Limits the load by shedding on arrival, tenant quotas, and the limits of the origin.
 *
 * <p>Invariants: requests over quota are rejected only under overload; each limit always lets some requests
 * through, which show when the overload has ended. Used from the load balancer's thread only.
 */
package spurroad.balancer.overload;
