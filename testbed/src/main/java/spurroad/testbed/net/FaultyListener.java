package spurroad.testbed.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * A listening loopback port with injectable faults: it can refuse connections, or let them hang, and accept
 * again at the same port. Used on the loop, except for its construction.
 */
final class FaultyListener {
    private static final int BACKLOG = 512;
    private static final int HANGING_BACKLOG = 1;
    /** Enough connections to fill a backlog of one, so that no other is established. */
    private static final int BACKLOG_FILLERS = 4;

    final int port;
    private final EventLoop loop;
    private final Function<SocketChannel, ChannelHandler[]> handlerFactory;
    private final ChannelGroup connections;
    private final List<Channel> backlogFillers = new ArrayList<>();
    private Channel listeningChannel;

    /**
     * Listens at a free port.
     *
     * @param handlerFactory creates the handlers of a connection; null resets the connection
     */
    FaultyListener(EventLoop loop, Function<SocketChannel, ChannelHandler[]> handlerFactory) {
        this.loop = loop;
        this.handlerFactory = handlerFactory;
        connections = new DefaultChannelGroup(loop);
        listeningChannel = bind(0, BACKLOG, true).syncUninterruptibly().channel();
        port = ((InetSocketAddress) listeningChannel.localAddress()).getPort();
    }

    /** Listens for HTTP/1.1; the handlers receive complete requests with bodies up to a number of bytes. */
    static FaultyListener http(EventLoop loop, int maxBodyBytes, Supplier<ChannelHandler> handlerFactory) {
        return new FaultyListener(loop, channel -> new ChannelHandler[] {new HttpServerCodec(),
            new HttpObjectAggregator(maxBodyBytes), handlerFactory.get()});
    }

    private ChannelFuture bind(int bindPort, int backlog, boolean accepts) {
        return new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, backlog)
            .option(ChannelOption.AUTO_READ, accepts).childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                    onConnection(channel);
                }
            }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), bindPort));
    }

    private void onConnection(SocketChannel channel) {
        ChannelHandler[] handlers = handlerFactory.apply(channel);
        if (handlers == null) {
            reset(channel);
        } else {
            connections.add(channel);
            channel.pipeline().addLast(handlers);
        }
    }

    /** Accepts connections from now on. */
    void accept() {
        rebind(BACKLOG, true);
    }

    /** Leaves new connections hanging from now on; established ones stay open. */
    void hang() {
        rebind(HANGING_BACKLOG, false);
    }

    /** Refuses connections from now on, and resets established ones. */
    void refuse() {
        closeBacklogFillers();
        listeningChannel.close();
        resetAll();
    }

    /** Resets all established connections. */
    void resetAll() {
        connections.forEach(FaultyListener::reset);
    }

    private static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private void rebind(int backlog, boolean accepts) {
        closeBacklogFillers();
        listeningChannel.close().addListener(closed -> bind(port, backlog, accepts).addListener(bound -> {
            if (!bound.isSuccess()) {
                throw new IllegalStateException("port " + port + " was taken by another process",
                    bound.cause());
            }
            listeningChannel = ((ChannelFuture) bound).channel();
            if (!accepts) {
                fillBacklog();
            }
        }));
    }

    private void fillBacklog() {
        for (int i = 0; i < BACKLOG_FILLERS; i++) {
            backlogFillers.add(new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(InetAddress.getLoopbackAddress(), port).channel());
        }
    }

    private void closeBacklogFillers() {
        backlogFillers.forEach(Channel::close);
        backlogFillers.clear();
    }

    void close() {
        closeBacklogFillers();
        listeningChannel.close();
        connections.close();
    }
}
