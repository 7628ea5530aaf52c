package spurroad.testbed.capacity;

import com.sun.management.ThreadMXBean;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A fake discovery service on loopback, served by one thread: each watch gets a complete list, and afterwards
 * each line that is sent to all. The lines have the form that proxies read.
 */
final class WatchServer implements AutoCloseable {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static final int BACKLOG = 4_096; // connections that come all at once
    private static final int MAX_REQUEST_BYTES = 1_024;

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Channel> watches = new ArrayList<>(); // the loop's
    private final ByteBuf wholeList;
    private final Channel listener;
    private final long threadId;

    /** Serves on a free port of loopback. */
    WatchServer(String wholeList) throws Exception {
        this.wholeList = Unpooled.unreleasableBuffer(line(wholeList));
        threadId = loop.submit(() -> Thread.currentThread().getId()).get();
        listener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG).childHandler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                        new Requests());
                }
            }).bind(InetAddress.getLoopbackAddress(), 0).sync().channel();
    }

    SocketAddress address() {
        return listener.localAddress();
    }

    /** Processor time of the serving thread so far, in nanoseconds. */
    long cpuNanos() {
        return THREADS.getThreadCpuTime(threadId);
    }

    /** Sends a line, which may be empty, on all watches. */
    void sendToAll(String text) {
        loop.execute(() -> {
            ByteBuf bytes = Unpooled.unreleasableBuffer(line(text));
            watches.forEach(watch -> watch.writeAndFlush(new DefaultHttpContent(bytes.duplicate())));
        });
    }

    /** Closes all watches and waits until none is left. */
    void dropAll() throws Exception {
        loop.submit(() -> List.copyOf(watches).forEach(Channel::close)).get();
        loop.submit(watches::clear).get();
    }

    private static ByteBuf line(String text) {
        return Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set("Transfer-Encoding", "chunked");
            context.write(head);
            context.writeAndFlush(new DefaultHttpContent(wholeList.duplicate()));
            watches.add(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // the other end has gone
        }
    }
}
