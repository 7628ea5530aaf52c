/**
 * A randomized soak of real proxy processes on loopback. {@link spurroad.testbed.soak.SoakRun} runs proxies
 * between fake clients, cache nodes, an origin and discovery, all in this process, and injects faults that
 * are drawn from a seed and overlap in time. The invariant checker compares the traffic with the
 * {@linkplain spurroad.testbed.soak.Invariant invariants}, and uses nothing that proxies report of
 * themselves. The same seed gives the same schedule of faults; the timing of threads and processes differs
 * from run to run.
 */
package spurroad.testbed.soak;
