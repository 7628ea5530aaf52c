/**
 * The proxy's access to the operating system: sockets, descriptors, threads, clocks and the log.
 *
 * <p>{@link spurroad.transport.EventLoop} is the single thread that serves all TCP sockets.
 * {@link spurroad.transport.Listener} accepts clients and {@link spurroad.transport.Connection} represents
 * one socket, both on that thread; {@link spurroad.transport.PeerDatagrams} has a thread of its own.
 * {@link spurroad.transport.DescriptorBudget} and {@link spurroad.transport.MemoryBudget} limit the
 * descriptors and the memory that all of them may use. Bytes are passed on uninterpreted: message formats
 * belong to {@code spurroad.protocol}.
 *
 * <p>Times are in nanoseconds of {@link spurroad.transport.Clock} unless a name says otherwise.
 */
package spurroad.transport;
