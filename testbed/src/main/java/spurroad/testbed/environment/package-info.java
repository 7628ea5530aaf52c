/**
 * The environment of the proxies under test: the models of a scenario on one timeline, the endpoint list of
 * discovery, what proxies are configured with, and the driver of faults. It runs on simulated and on real
 * time.
 */
package spurroad.testbed.environment;
