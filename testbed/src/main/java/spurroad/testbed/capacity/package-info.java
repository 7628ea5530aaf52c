/**
 * Scale measurements: for each role of a deployment its state, messages, processor time and memory at sizes
 * far enough apart to see how they grow, and what follows from them for a fleet of a given size. Each
 * measurement drives the classes that production runs; what stands in for the rest (clients, cache nodes, the
 * network) is as thin as it can be.
 */
package spurroad.testbed.capacity;
