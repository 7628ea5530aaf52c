package spurroad.testbed.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import spurroad.testbed.model.Origin;
import spurroad.testbed.model.Reply;
import spurroad.testbed.model.ServerRequest;

/** Serves HTTP/1.1 for the origin. Used on the loop, except for its construction. */
final class OriginServer {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final byte[] EMPTY = {};
    private static final String HEALTH_CHECK_PATH = "/ping";
    private static final String LOAD_PROBE_PATH = "/_load";

    private final Origin origin;
    private final CommandFields commandFields;
    private final FaultyListener listener;

    OriginServer(EventLoop loop, CommandFields commandFields, Origin origin) {
        this.origin = origin;
        this.commandFields = commandFields;
        listener = FaultyListener.http(loop, MAX_BODY_BYTES, ConnectionHandler::new);
    }

    int port() {
        return listener.port;
    }

    void close() {
        listener.close();
    }

    private final class ConnectionHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest httpRequest) {
            String path = httpRequest.uri();
            if (path.equals(HEALTH_CHECK_PATH) || path.equals(LOAD_PROBE_PATH)) {
                write(context, response(HttpResponseStatus.OK, EMPTY));
                return;
            }
            ServerRequest request = commandFields.request(path.substring(1),
                header(httpRequest, "X-Request-Id"), header(httpRequest, "X-Extras"), false);
            if (request == null) {
                write(context, response(HttpResponseStatus.BAD_REQUEST, EMPTY));
            } else {
                origin.offer(request, reply -> write(context, response(request, reply)));
            }
        }

        private static String header(FullHttpRequest request, String name) {
            String value = request.headers().get(name);
            return value == null ? "" : value;
        }

        private FullHttpResponse response(ServerRequest request, Reply reply) {
            return switch (reply.kind()) {
                case VALUE -> response(HttpResponseStatus.OK, TaggedValue.encode(request, reply));
                case RECEIPT ->
                    response(HttpResponseStatus.OK, request.id().getBytes(StandardCharsets.ISO_8859_1));
                case BUSY -> {
                    FullHttpResponse busy = response(HttpResponseStatus.SERVICE_UNAVAILABLE, EMPTY);
                    busy.headers().set("X-Not-Run", "1");
                    yield busy;
                }
                default -> response(HttpResponseStatus.INTERNAL_SERVER_ERROR, EMPTY);
            };
        }

        private FullHttpResponse response(HttpResponseStatus status, byte[] body) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.wrappedBuffer(body));
            response.headers().set("Content-Length", body.length);
            response.headers().set("X-Load", "inflight=" + origin.inFlight());
            return response;
        }

        private static void write(ChannelHandlerContext context, FullHttpResponse response) {
            context.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // reset by the proxy
        }
    }
}
