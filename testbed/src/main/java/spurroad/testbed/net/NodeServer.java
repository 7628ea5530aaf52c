package spurroad.testbed.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import spurroad.testbed.model.CacheNode;
import spurroad.testbed.model.Reply;
import spurroad.testbed.model.ServerRequest;

/**
 * Serves the memcache meta protocol for the cache node at one address; another node may replace it there.
 * Used on the loop, except for its construction.
 */
final class NodeServer {
    private final FaultyListener listener;
    private final CommandFields commandFields;
    private CacheNode node;
    private CacheNode.Reach appliedReach = CacheNode.Reach.UP;

    NodeServer(EventLoop loop, CommandFields commandFields, CacheNode node) {
        this.commandFields = commandFields;
        listener = new FaultyListener(loop, channel -> {
            CacheNode connectedNode = this.node;
            if (!connectedNode.connect()) {
                return null;
            }
            channel.closeFuture().addListener(closed -> connectedNode.disconnected());
            return new ChannelHandler[] {new MetaDecoder(), new ConnectionHandler()};
        });
        serve(node);
    }

    int port() {
        return listener.port;
    }

    /** Replaces the node at this address. */
    void serve(CacheNode next) {
        node = next;
        next.onReach(() -> {
            if (next == node) {
                applyReach(next.reach());
            }
        });
        applyReach(next.reach());
    }

    private void applyReach(CacheNode.Reach reach) {
        if (reach == appliedReach) {
            return;
        }
        boolean wasVanished = appliedReach == CacheNode.Reach.VANISHED;
        appliedReach = reach;
        switch (reach) {
            case UP -> {
                if (wasVanished) {
                    listener.resetAll(); // its host is back, and doesn't know the old connections
                }
                listener.accept();
            }
            case HALF_OPEN, VANISHED -> listener.hang();
            case DOWN -> listener.refuse();
        }
    }

    void close() {
        listener.close();
    }

    /** One connection of a proxy. */
    private final class ConnectionHandler extends SimpleChannelInboundHandler<MetaDecoder.Message> {
        private boolean newConnection = true;

        @Override
        protected void channelRead0(ChannelHandlerContext context, MetaDecoder.Message message) {
            switch (message.words()[0]) {
                case "mg", "ms" -> onRequest(context, message);
                case "stats" -> onLoadProbe(context);
                case "mn" -> writeLine(context, "MN");
                default -> writeLine(context, "ERROR");
            }
        }

        private void onLoadProbe(ChannelHandlerContext context) {
            if (node.answers()) {
                writeLine(context, "STAT inflight " + node.report() + "\r\nEND");
            }
        }

        private void onRequest(ChannelHandlerContext context, MetaDecoder.Message message) {
            ServerRequest request = commandFields.request(message.words()[1], message.flag('O'),
                message.flag('P'), newConnection);
            newConnection = false;
            if (request == null) {
                writeLine(context, "CLIENT_ERROR bad command line format");
                return;
            }
            node.offer(request, reply -> respond(context, request, reply));
        }

        private void respond(ChannelHandlerContext context, ServerRequest request, Reply reply) {
            if (reply.spoilt() > 0) {
                respondCorrupted(context, request, reply);
                return;
            }
            String id = " O" + request.id();
            String load = " Linflight=" + reply.inFlight();
            switch (reply.kind()) {
                case VALUE -> {
                    byte[] value = TaggedValue.encode(request, reply);
                    writeValue(context, "VA " + value.length + id + load, value);
                }
                case MISS -> writeLine(context, "EN" + id + load);
                case RECEIPT -> writeLine(context, "HD" + id + " c" + request.id() + load);
                case BUSY -> writeLine(context, "SERVER_ERROR busy");
                case FAILED -> writeLine(context, "SERVER_ERROR failed");
            }
        }

        private void respondCorrupted(ChannelHandlerContext context, ServerRequest request, Reply reply) {
            byte[] value = TaggedValue.encode(request, reply);
            String id = " O" + request.id();
            switch (reply.spoilt()) {
                case 1 -> writeLine(context, "\u0001\u0002\u00ff noise");
                case 2 -> writeValue(context, "VA 3" + id, value); // wrong length
                case 3 -> writeValue(context, "VA " + value.length + " Oq0.0", value); // wrong id
                default -> writeLine(context, "VA 3000000000" + id); // length out of range
            }
        }

        private void writeValue(ChannelHandlerContext context, String line, byte[] value) {
            byte[] head = (line + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
            ByteBuf response = context.alloc().buffer(head.length + value.length + 2);
            response.writeBytes(head).writeBytes(value).writeByte('\r').writeByte('\n');
            context.writeAndFlush(response);
        }

        private static void writeLine(ChannelHandlerContext context, String line) {
            context.writeAndFlush(Unpooled.copiedBuffer(line + "\r\n", StandardCharsets.ISO_8859_1));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // reset by the proxy, or a malformed command
        }
    }
}
