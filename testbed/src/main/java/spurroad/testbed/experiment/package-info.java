/** Runs scenarios, stores and compares their results, searches for the worst faults, and writes a report. */
package spurroad.testbed.experiment;
