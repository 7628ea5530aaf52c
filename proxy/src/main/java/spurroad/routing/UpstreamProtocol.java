package spurroad.routing;

import java.io.IOException;
import spurroad.protocol.ByteSource;
import spurroad.protocol.Http;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.MetaResponse;
import spurroad.protocol.UpstreamReply;

/** An endpoint's protocol: one message out, one reply back. */
interface UpstreamProtocol {
    /**
     * The message for a request, without a long value.
     *
     * @param command the request; null for a load probe
     * @param timeLeftMillis how long its reply is waited for
     */
    byte[] message(MetaCommand command, long timeLeftMillis);

    /** What follows a long value that was sent after the message. */
    byte[] afterValue();

    /** Parses the reply to such a message. */
    UpstreamReply reply(ByteSource in, MetaCommand command) throws IOException;

    /** Cache nodes: the meta commands. */
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
            return command == null ? MetaResponse.readProbeResponse(in) : MetaResponse.read(in, command.id());
        }
    };

    /** The origin: HTTP/1.1. */
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
                return command == null ? Http.readProbeResponse(in) : Http.read(in, command);
            }
        };
    }
}
