package spurroad.routing;

import java.io.IOException;
import spurroad.protocol.ByteSource;
import spurroad.protocol.Http;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.MetaResponse;
import spurroad.protocol.UpstreamReply;

/** Encodes requests to an endpoint and parses its replies; each message has one reply. */
interface UpstreamProtocol {
    /**
     * Maximum length in bytes of a value that is read with its reply. Memory is reserved for a longer one
     * before it is read.
     */
    int MAX_INLINE_VALUE_BYTES = 2 * 1024;

    /**
     * Returns the message for a request, without its long value if it has one.
     *
     * @param command the request; null for a load probe
     * @param timeLeftMillis how long the proxy waits for the reply
     */
    byte[] message(MetaCommand command, long timeLeftMillis);

    /** Returns the bytes that follow a long value, which is sent after the message. */
    byte[] afterValue();

    /** Parses the reply to a message; the command is null for a load probe. */
    UpstreamReply reply(ByteSource in, MetaCommand command) throws IOException;

    /** The meta commands of cache nodes. */
    UpstreamProtocol CACHE = new UpstreamProtocol() {
        @Override
        public byte[] message(MetaCommand command, long timeLeftMillis) {
            return command == null ? MetaResponse.loadProbe() : command.forEndpoint(timeLeftMillis);
        }

        @Override
        public byte[] afterValue() {
            return MetaResponse.lineEnd();
        }

        @Override
        public UpstreamReply reply(ByteSource in, MetaCommand command) throws IOException {
            return command == null ? MetaResponse.readProbeResponse(in)
                : MetaResponse.read(in, command.id(), MAX_INLINE_VALUE_BYTES);
        }
    };

    /** Returns the HTTP/1.1 protocol of the origin with the given authority. */
    static UpstreamProtocol origin(String host) {
        return new UpstreamProtocol() {
            @Override
            public byte[] message(MetaCommand command, long timeLeftMillis) {
                return command == null ? Http.get("/_load", host)
                    : Http.forOrigin(command, timeLeftMillis, host);
            }

            @Override
            public byte[] afterValue() {
                return new byte[0];
            }

            @Override
            public UpstreamReply reply(ByteSource in, MetaCommand command) throws IOException {
                return command == null ? Http.readProbeResponse(in)
                    : Http.read(in, command, MAX_INLINE_VALUE_BYTES);
            }
        };
    }
}
