/**
 * A large fleet in simulated time: control machines, relays and hollow proxies, which run the decisions of
 * {@link spurroad.control.distribution} and nothing else. Figures from here are simulated.
 */
package spurroad.testbed.fleet;
