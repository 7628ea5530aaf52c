/**
 * State that the decision modules of one load balancer share: the event that is being handled, the deployment
 * in force, and the source of random numbers.
 *
 * <p>Invariant: each load balancer has one instance of each, and only the load balancer itself begins events
 * and replaces the deployment. Thread: the load balancer's.
 */
package spurroad.balancer.context;
