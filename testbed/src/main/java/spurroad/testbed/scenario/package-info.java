/** A scenario, the description of one experiment, and its TOML file. */
package spurroad.testbed.scenario;
