package spurroad.testbed.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import spurroad.testbed.environment.Environment;
import spurroad.testbed.environment.ProxyFile;

/**
 * Discovery for one proxy, at an address of that proxy's own, so that the rule checker knows when each proxy
 * was told what. It serves the complete endpoint list, or a watch that streams changes. Used on the loop.
 */
final class DiscoveryServer {
    private static final String LIST_PATH = "/catalog/members";
    /** An empty line is sent this often on a watch without events. */
    private static final long HEARTBEAT_SECONDS = 2;
    private static final int MAX_BODY_BYTES = 1024;

    private final Environment environment;
    private final ProxyFile file;
    private final int proxy;
    private final FaultyListener listener;

    DiscoveryServer(EventLoop loop, Environment environment, ProxyFile file, int proxy) {
        this.environment = environment;
        this.file = file;
        this.proxy = proxy;
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
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            Map<String, List<String>> parameters = uri.parameters();
            if (!uri.path().equals(LIST_PATH)) {
                respond(context, HttpResponseStatus.NOT_FOUND, "");
            } else if (parameters.containsKey("follow")) {
                String since = parameters.getOrDefault("since", List.of("0")).get(0);
                startWatch(context.channel(), Long.parseLong(since));
            } else {
                respond(context, HttpResponseStatus.OK, file.listText(0));
                environment.told(proxy, 0);
            }
        }

        private void respond(ChannelHandlerContext context, HttpResponseStatus status, String body) {
            ByteBuf bytes = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes);
            response.headers().set("Content-Length", bytes.readableBytes());
            context.writeAndFlush(response);
        }

        private void startWatch(Channel channel, long sinceRevision) {
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set("Transfer-Encoding", "chunked");
            channel.write(head);
            Consumer<Long> follower = new WatchFollower(channel, sinceRevision);
            follower.accept(environment.members.revision());
            environment.members.follow(follower);
            ScheduledFuture<?> heartbeat = channel.eventLoop().scheduleAtFixedRate(
                () -> writeLine(channel, ""), HEARTBEAT_SECONDS, HEARTBEAT_SECONDS, TimeUnit.SECONDS);
            channel.closeFuture().addListener(closed -> {
                environment.members.unfollow(follower);
                heartbeat.cancel(false);
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // the proxy has closed the connection
        }
    }

    /** Sends what changed after the last revision that it sent, whenever there is a new one. */
    private final class WatchFollower implements Consumer<Long> {
        private final Channel channel;
        private long sentRevision;

        private WatchFollower(Channel channel, long sentRevision) {
            this.channel = channel;
            this.sentRevision = sentRevision;
        }

        @Override
        public void accept(Long revision) {
            writeLine(channel, file.listText(sentRevision));
            environment.told(proxy, sentRevision);
            sentRevision = revision;
        }
    }

    private static void writeLine(Channel channel, String text) {
        ByteBuf line = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
        channel.writeAndFlush(new DefaultHttpContent(line));
    }
}
