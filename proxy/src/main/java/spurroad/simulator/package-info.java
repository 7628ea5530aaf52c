/**
 * Adapts the load balancer to a simulator, which simulates the proxies' clients, endpoints, discovery and
 * network in simulated time and communicates over one pair of streams.
 *
 * <p>The wire format is big-endian. The simulator sends batches of events, each event for one of many
 * instances, with one time for all events of a batch. Every batch gets one reply, with the decisions in the
 * order of the events that caused them. {@link spurroad.simulator.SimulatorAdapter} uses these classes:
 *
 * <ul>
 * <li>{@code EventBatch} reads a batch; {@code EventDecoder} decodes each of its records into a
 * {@code SimulatorEvent};
 * <li>{@code SimulatedInstance} holds one load balancer and its timer;
 * <li>{@code ReplyEncoder} encodes the decisions.</ul>
 *
 * <p>Only the thread that runs the adapter uses this package.
 */
package spurroad.simulator;
