/** The clock of an environment and the events that wait on it, simulated or real. */
package spurroad.testbed.time;
