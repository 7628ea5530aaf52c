package spurroad.testbed.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import spurroad.testbed.model.Answer;
import spurroad.testbed.model.RequestAttempt;

/** One client connection to a proxy, with at most one attempt in flight. Used on the loop. */
final class ClientConnection extends SimpleChannelInboundHandler<MetaDecoder.Message> {
    private static final int CONNECT_TIMEOUT_MS = 1000;

    private final ClientConnectionPool pool;
    private final AttemptEvents events;
    private Channel channel;
    private RequestAttempt current;
    /** The attempt that was answered last, to which a surplus response is attributed. */
    private RequestAttempt previous;
    /** Whether the current attempt was written completely. */
    private boolean written;

    ClientConnection(ClientConnectionPool pool, AttemptEvents events) {
        this.pool = pool;
        this.events = events;
    }

    /** Connects to a port, and then sends the first attempt unless that has ended meanwhile. */
    void open(EventLoop loop, int port, RequestAttempt first) {
        current = first;
        channel = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel socketChannel) {
                    socketChannel.pipeline().addLast(new MetaDecoder(), ClientConnection.this);
                }
            }).connect(InetAddress.getLoopbackAddress(), port).addListener(this::onConnectEnd).channel();
        channel.closeFuture().addListener(closed -> onClosed());
    }

    private void onConnectEnd(Future<? super Void> connected) {
        if (!connected.isSuccess()) {
            onClosed();
        } else if (current.isOver()) {
            current = null;
            pool.release(this);
        } else {
            send(current);
        }
    }

    boolean isActive() {
        return channel.isActive();
    }

    boolean carries(RequestAttempt attempt) {
        return current == attempt;
    }

    void close() {
        channel.close();
    }

    void send(RequestAttempt attempt) {
        current = attempt;
        written = false;
        ByteBuf command = Unpooled.copiedBuffer(events.onSending(attempt), StandardCharsets.ISO_8859_1);
        channel.writeAndFlush(command).addListener(write -> {
            if (write.isSuccess() && current == attempt) {
                written = true;
                events.onWritten(attempt);
            }
        });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, MetaDecoder.Message message) {
        if (current == null) {
            onSurplusMessage(message);
            return;
        }
        RequestAttempt answered = current;
        Answer answer = MetaClient.answer(answered, message);
        events.onReceived(answered, answer);
        previous = answered;
        current = null;
        pool.release(this);
        events.onAnswered(answered, answer);
    }

    /** Reports a surplus response for the rule checker; bytes before any request belong to no attempt. */
    private void onSurplusMessage(MetaDecoder.Message message) {
        if (previous != null) {
            events.onReceived(previous, MetaClient.answer(previous, message));
        }
    }

    /** The connection has ended; a failed connect may call this twice. */
    private void onClosed() {
        RequestAttempt lost = current;
        current = null;
        if (lost != null && !lost.isOver()) {
            events.onDisconnected(lost, written);
        }
        pool.remove(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close(); // reset, or a malformed message: the attempt ends as disconnected
    }
}
