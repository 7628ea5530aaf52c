/**
 * Runs a scenario in simulated time: simulated proxies round the models of clients, cache nodes and origin.
 */
package spurroad.testbed.simulation;
