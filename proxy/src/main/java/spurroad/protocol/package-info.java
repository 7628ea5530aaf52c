/**
 * The wire formats of the proxy: memcache meta commands with clients and cache nodes
 * ({@link spurroad.protocol.MetaCommand}, {@link spurroad.protocol.MetaResponse}), HTTP with the origin and
 * discovery ({@link spurroad.protocol.Http}, {@link spurroad.protocol.EndpointList}), and the datagrams
 * between proxies ({@link spurroad.protocol.PeerUpdateCodec}).
 *
 * <p>Readers take their bytes from a {@link spurroad.protocol.ByteSource}, which may have received only a
 * part of a message. The length of each input is checked before memory is allocated for it. Malformed input
 * causes a {@link spurroad.protocol.ProtocolException}; only a malformed command of a client is returned as a
 * command of kind {@code INVALID}, as it gets a response.
 *
 * <p>Nothing here opens a socket or starts a thread. Objects are not thread-safe.
 */
package spurroad.protocol;
