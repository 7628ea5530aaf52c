/**
 * Statistics over recent events: exponentially decayed averages, and bounded sets of recent keys.
 *
 * <p>Invariants: callers pass the time, which never goes back; the memory used is bounded. Thread: the load
 * balancer's.
 */
package spurroad.balancer.statistics;
