/**
 * Checks a run from the outside: {@link spurroad.testbed.checker.RuleChecker} compares the traffic between
 * clients, proxies and servers with the four rules, and {@link spurroad.testbed.checker.OutcomeStatistics}
 * counts how the clients' requests ended. Neither uses what a proxy reports of itself. All of it runs on the
 * thread of the environment's timeline.
 */
package spurroad.testbed.checker;
