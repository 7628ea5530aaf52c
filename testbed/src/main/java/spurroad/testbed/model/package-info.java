/**
 * Models of everything around the proxies: the clients' load, the cache nodes and the origin. The models know
 * nothing of how requests travel: the same code runs on simulated time and, behind sockets, on real time.
 * Each part draws from a {@link spurroad.testbed.model.RandomStream} of its own, so that a seed repeats a
 * run. All methods are called on the thread of the environment's timeline.
 */
package spurroad.testbed.model;
