package spurroad.rig.net;

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
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import spurroad.rig.model.Answer;
import spurroad.rig.model.Population;
import spurroad.rig.model.Try;
import spurroad.rig.world.Front;
import spurroad.rig.world.World;

/**
 * Carries tries to proxies over connections that clients keep, one try on each at a time, and opens more up
 * to a bound; tries for which there is none wait. The loop's.
 */
final class ClientSide implements Population.Gateway {
    private static final long NS_PER_MS = 1_000_000L;
    private static final int VALUE_BYTES = 32; // of a write
    private static final int CONNECT_MS = 1000; // ms; after which a client gives up an attempt to connect

    private final World world;
    private final EventLoop loop;
    private final Front front;
    private final List<ToProxy> proxies = new ArrayList<>();
    private Population population;
    private long opened;

    ClientSide(World world, EventLoop loop, int[] ports) {
        this.world = world;
        this.loop = loop;
        front = new Front(ports.length, world.seed);
        for (int port : ports) {
            proxies.add(new ToProxy(port));
        }
    }

    /** To be called before anything is sent. */
    void population(Population of) {
        population = of;
    }

    /** How many connections clients have opened. */
    long opened() {
        return opened;
    }

    /** Whether the front deals a proxy out. */
    void offered(int proxy, boolean on) {
        front.offer(proxy, on);
    }

    void close() {
        proxies.forEach(ToProxy::close);
    }

    @Override
    public int choose() {
        return front.choose();
    }

    @Override
    public void send(Try t) {
        proxies.get(t.proxy).send(t);
    }

    @Override
    public void leave(Try t) {
        world.judge.left(world.timeline.now(), t);
        proxies.get(t.proxy).leave(t);
    }

    /** All connections to one proxy. */
    private final class ToProxy {
        private final int port;
        private final Deque<Link> idle = new ArrayDeque<>();
        private final Deque<Try> waiting = new ArrayDeque<>();
        private final List<Link> links = new ArrayList<>();

        private ToProxy(int port) {
            this.port = port;
        }

        private void send(Try t) {
            Link link = idle.pollLast();
            while (link != null && !link.channel.isActive()) {
                link = idle.pollLast();
            }
            if (link != null) {
                link.send(t);
            } else if (links.size() < world.scenario.load().connections()) {
                new Link(this).open(t);
            } else {
                waiting.add(t);
            }
        }

        private void leave(Try t) {
            if (!waiting.remove(t)) {
                links.stream().filter(l -> l.at == t).findFirst().ifPresent(l -> l.channel.close());
            }
        }

        private void free(Link link) {
            Try next = waiting.poll();
            if (next != null) {
                link.send(next);
            } else {
                idle.addLast(link);
            }
        }

        private void ended(Link link) {
            links.remove(link);
            idle.remove(link);
            Try next = waiting.poll();
            if (next != null) {
                send(next);
            }
        }

        private void close() {
            List.copyOf(links).forEach(l -> l.channel.close());
        }
    }

    /** One connection. */
    private final class Link extends SimpleChannelInboundHandler<MetaDecoder.Message> {
        private final ToProxy to;
        private Channel channel;
        private Try at, last; // what is asked for now, and what was asked for and answered before
        private boolean sent;

        private Link(ToProxy to) {
            this.to = to;
        }

        private void open(Try first) {
            to.links.add(this);
            opened++;
            at = first;
            channel = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel c) {
                        c.pipeline().addLast(new MetaDecoder(), Link.this);
                    }
                }).connect(InetAddress.getLoopbackAddress(), to.port).addListener(f -> {
                    if (!f.isSuccess()) {
                        over();
                    } else if (at.isOver()) {
                        at = null;
                        to.free(this);
                    } else {
                        send(at);
                    }
                }).channel();
            channel.closeFuture().addListener(closed -> over());
        }

        private void send(Try t) {
            at = t;
            sent = false;
            long now = world.timeline.now();
            world.judge.sending(now, t);
            channel.writeAndFlush(command(t, Math.max(1, (t.until - now) / NS_PER_MS))).addListener(f -> {
                if (f.isSuccess() && at == t) {
                    sent = true;
                    world.judge.taken(world.timeline.now(), t);
                }
            });
        }

        private ByteBuf command(Try t, long waitMs) {
            String list = "c=" + t.ask.track.name() + ",t=" + t.ask.customer.name() + ",d=" + waitMs
                + (t.ask.mark.isEmpty() ? "" : ",k=" + t.ask.mark) + (t.number > 1 ? ",r=1" : "");
            String line = t.ask.track.write()
                ? "ms k" + t.ask.key + " " + VALUE_BYTES + " O" + t.id + " P" + list + "\r\n"
                    + "w".repeat(VALUE_BYTES)
                : "mg k" + t.ask.key + " v O" + t.id + " P" + list;
            return Unpooled.copiedBuffer(line + "\r\n", StandardCharsets.ISO_8859_1);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, MetaDecoder.Message m) {
            Try t = at != null ? at : last;
            if (t == null) {
                return; // a proxy that speaks first: nobody has asked anything here
            }
            Answer answer = answer(t, m);
            world.judge.answered(world.timeline.now(), t, answer); // one more to the last is for the judge to see
            if (at == null) {
                return;
            }
            last = at;
            at = null;
            to.free(this);
            population.answered(t, answer);
        }

        private Answer answer(Try t, MetaDecoder.Message m) {
            switch (m.words()[0]) {
                case "VA" :
                    String[] made = Values.read(m.value());
                    boolean named = m.flag('O').equals(t.id);
                    return new Answer(Answer.Kind.VALUE, 0, named ? made[0] : "O" + m.flag('O'),
                        version(made[2]));
                case "HD" :
                    return new Answer(Answer.Kind.RECEIPT, 0, m.flag('O').equals(t.id) ? m.flag('c')
                        : "O" + m.flag('O'), 0);
                case "SERVER_ERROR" :
                    if (m.words().length > 1 && m.words()[1].equals("busy")) {
                        long ms = m.words().length > 2 ? Long.parseLong(m.words()[2]) : 0;
                        return new Answer(Answer.Kind.REJECTED, ms * NS_PER_MS, "", 0);
                    }
                    return new Answer(Answer.Kind.FAILED, 0, "", 0);
                default :
                    return new Answer(Answer.Kind.FAILED, 0, "", 0);
            }
        }

        private static int version(String word) {
            return word.matches("[0-9]{1,9}") ? Integer.parseInt(word) : 0;
        }

        /** The connection is gone; told once by its future and perhaps once more by a failed connect. */
        private void over() {
            Try t = at;
            at = null;
            if (t != null && !t.isOver()) {
                world.judge.cutOff(world.timeline.now(), t);
                population.broken(t, sent);
            }
            to.ended(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // reset, or an answer that can't be read: its try ends as broken
        }
    }
}
