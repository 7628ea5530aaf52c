package spurroad.testbed.capacity;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import spurroad.protocol.Http;

/** Watches on discovery that count the lines and bytes that they receive; all share one thread. */
final class HollowWatches implements AutoCloseable {
    private static final long LINES_TIMEOUT_NANOS = 60 * SyntheticFleet.SECOND_NANOS;
    private static final int MAX_PENDING_CONNECTIONS = 256; // less than the backlog of any system

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Channel> watches = new ArrayList<>();
    private final AtomicLong lines = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();

    /** Opens watches and waits until each has received its first line. */
    void open(SocketAddress discovery, int count) throws Exception {
        long expected = lines.get() + count;
        byte[] request = Http.get("/catalog/members?follow=1&since=0", "discovery");
        Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.SO_LINGER, 0) // a port isn't held for a minute after each measurement
            .handler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new ByteCount(), new HttpResponseDecoder(), new Lines());
                }
            });
        for (int opened = 0; opened < count; opened++) {
            Channel channel = bootstrap.connect(discovery).sync().channel();
            channel.writeAndFlush(Unpooled.wrappedBuffer(request));
            watches.add(channel);
            if (opened % MAX_PENDING_CONNECTIONS == 0) {
                awaitLines(expected - count + Math.max(0, opened - MAX_PENDING_CONNECTIONS));
            }
        }
        awaitLines(expected);
    }

    /** Returns the lines that all watches have received so far. */
    long lines() {
        return lines.get();
    }

    /** Returns the bytes that all watches have received so far, without the network's headers. */
    long bytes() {
        return bytes.get();
    }

    /** Waits until all watches together have received so many lines; throws after a bounded time. */
    void awaitLines(long count) throws Exception {
        long end = System.nanoTime() + LINES_TIMEOUT_NANOS;
        while (lines.get() < count) {
            if (System.nanoTime() > end) {
                throw new TimeoutException("watches were sent " + lines.get() + " lines of " + count);
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Closes all watches. */
    void drop() {
        watches.forEach(channel -> channel.close().syncUninterruptibly());
        watches.clear();
    }

    @Override
    public void close() {
        drop();
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private final class ByteCount extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            bytes.addAndGet(((ByteBuf) message).readableBytes());
            context.fireChannelRead(message);
        }
    }

    private final class Lines extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message instanceof HttpContent content) {
                String text = content.content().toString(StandardCharsets.ISO_8859_1);
                lines.addAndGet(text.chars().filter(c -> c == '\n').count());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // discovery has closed it
        }
    }
}
