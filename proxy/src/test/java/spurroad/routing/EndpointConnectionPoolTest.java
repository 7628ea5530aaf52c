package spurroad.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.fixture.ScriptedPeers;
import spurroad.model.CellId;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointKindId;
import spurroad.model.EndpointPhase;
import spurroad.model.Outcome;
import spurroad.model.RequestClassId;
import spurroad.model.ZoneId;
import spurroad.protocol.ByteSource;
import spurroad.protocol.EndpointList.ListedEndpoint;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.UpstreamReply;
import spurroad.transport.Clock;
import spurroad.transport.DescriptorBudget;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;
import spurroad.transport.Threads;

public class EndpointConnectionPoolTest {
    private static final long LONG_NS = 20_000 * 1_000_000L;
    private static final long SHORT_NS = 200 * 1_000_000L;
    private final EventLog log = new EventLog();
    private final Clock clock = new Clock();
    private final EventLoop loop = new EventLoop(log, clock);
    private final BlockingQueue<UpstreamReply> ended = new LinkedBlockingQueue<>();
    private final AtomicInteger forwarded = new AtomicInteger();

    @BeforeClass
    public void start() {
        new Threads(log).start("loop", loop);
    }

    @AfterClass
    public void end() {
        loop.shutdown();
    }

    private EndpointConnectionPool node(int port, boolean origin, DescriptorBudget descriptors) {
        return node(port, origin, descriptors, 0);
    }

    private EndpointConnectionPool node(int port, boolean origin, DescriptorBudget descriptors, long restNs) {
        return new EndpointConnectionPool(
            new EndpointConnectionPool.Environment(loop, log, new RuleMonitor(log), descriptors, SHORT_NS,
                LONG_NS,
                restNs, SocketFactory.TCP,
                () -> {}, (e, reply) -> ended.add(reply), forwarded::incrementAndGet),
            member(port, 0), origin);
    }

    private static ListedEndpoint member(int port, long started) {
        return member(port, started, EndpointPhase.READY);
    }

    private static ListedEndpoint member(int port, long started, EndpointPhase phase) {
        return new ListedEndpoint(
            new Endpoint(new EndpointId(1), new EndpointKindId(0), new ZoneId(0), new CellId(0), started, 1,
                phase),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    private UpstreamRequest begin(EndpointConnectionPool node, long allowNs) throws IOException {
        UpstreamRequest e = request(node, allowNs);
        loop.execute(() -> node.start(e));
        return e;
    }

    private UpstreamRequest request(EndpointConnectionPool node, long allowNs) throws IOException {
        return request(node, allowNs, Long.MAX_VALUE);
    }

    private UpstreamRequest request(EndpointConnectionPool node, long allowNs, long sentBy)
        throws IOException {
        MetaCommand command = MetaCommand.read(new ByteSource(new ByteArrayInputStream(
            "mg k v O1 Pc=read,d=480\r\n".getBytes())));
        ProxiedRequest query = new ProxiedRequest(null, command, new RequestClassId(0), null, null, 0, 0);
        return new UpstreamRequest(query, 0, node, clock.now() + allowNs, sentBy, 0);
    }

    private Outcome outcome() throws InterruptedException {
        UpstreamReply reply = ended.poll(20, TimeUnit.SECONDS);
        assertNotNull(reply, "a request that never ended");
        return reply.outcome();
    }

    @DataProvider
    Object[][] ends() {
        String head = "HTTP/1.1 ";
        return new Object[][] {{false, "VA 1 O1\r\na\r\n", Outcome.SUCCEEDED},
            {false, "EN O1\r\n", Outcome.CACHE_MISS},
            {false, "SERVER_ERROR failed\r\n", Outcome.FAILED},
            {false, "SERVER_ERROR busy\r\n", Outcome.REJECTED},
            {false, "", Outcome.CONNECTION_LOST}, {false, null, Outcome.TIMED_OUT},
            {false, "VA 5 O1\r\na", Outcome.TIMED_OUT},
            {false, "VA 1 O2\r\na\r\n", Outcome.CONNECTION_LOST},
            {false, "CLIENT_ERROR x\r\n", Outcome.CONNECTION_LOST},
            {false, "x".repeat(9000), Outcome.CONNECTION_LOST}, {true, "", Outcome.CONNECTION_LOST},
            {true, null, Outcome.TIMED_OUT},
            {true, head + "200 OK\r\nContent-Length: 1\r\n\r\na", Outcome.SUCCEEDED},
            {true, head + "500 No\r\nContent-Length: 0\r\n\r\n", Outcome.FAILED},
            {true, head + "504 No\r\nContent-Length: 0\r\nX-Not-Run: 1\r\n\r\n", Outcome.REJECTED},
            {true, "EN O1\r\n", Outcome.CONNECTION_LOST}};
    }

    @Test(dataProvider = "ends")
    public void whatComesBackDecidesTheOutcome(boolean origin, String answer, Outcome outcome)
        throws Exception {
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> answer)) {
            begin(node(peer.port, origin, new DescriptorBudget(100)),
                outcome == Outcome.TIMED_OUT ? SHORT_NS : LONG_NS);
            assertEquals(outcome(), outcome);
            assertTrue(peer.await(origin ? "GET /k" : "mg k v O1 Pc=read,d=").length() > 5);
            if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CONNECTION_LOST) {
                assertEquals(peer.await("closed"), "closed");
            }
        }
    }

    @DataProvider
    Object[][] endings() {
        String head = "HTTP/1.1 200 OK\r\n";
        return new Object[][] {{head + "\r\nhalf", false, Outcome.SUCCEEDED},
            {head + "\r\nhalf", true, Outcome.CONNECTION_LOST},
            {head + "\r\n", true, Outcome.CONNECTION_LOST},
            {head + "Content-Length: 8\r\n\r\nhalf", false, Outcome.CONNECTION_LOST},
            {head + "Content-Length: 8\r\n\r\nhalf", true, Outcome.CONNECTION_LOST},
            {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false, Outcome.CONNECTION_LOST},
            {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true, Outcome.CONNECTION_LOST},
            {head + "\r\n" + "half".repeat(10_000), true, Outcome.CONNECTION_LOST}};
    }

    /** A reset is no end: half of a value was passed on as all of it, where answers have no length. */
    @Test(dataProvider = "endings")
    public void anAnswerWithoutALengthIsWholeOnlyWithAnEndInOrder(String says, boolean reset, Outcome outcome)
        throws Exception {
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> says)) {
            begin(node(peer.port, true, new DescriptorBudget(100)), LONG_NS);
            peer.say(""); // behind its answer
            if (reset) {
                peer.reset();
            } else {
                peer.hangUp();
            }
            assertEquals(outcome(), outcome);
        }
    }

    @Test
    public void noConnectionProvesThatNothingRan() throws Exception {
        int free;
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            free = s.getLocalPort();
        }
        begin(node(free, false, new DescriptorBudget(100)), LONG_NS);
        assertEquals(outcome(), Outcome.NO_CONNECTION, "refused");
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> null)) {
            DescriptorBudget descriptors = new DescriptorBudget(2 + 8 + 2);
            EndpointConnectionPool node = node(peer.port, false, descriptors);
            begin(node, LONG_NS);
            peer.await("mg");
            begin(node, LONG_NS);
            assertEquals(outcome(), Outcome.NOT_SENT, "no descriptor is left");
        }
    }

    @Test
    public void aCancelClosesItsConnectionAndEndsItOnce() throws Exception {
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> null)) {
            DescriptorBudget descriptors = new DescriptorBudget(100);
            EndpointConnectionPool node = node(peer.port, false, descriptors);
            int before = descriptors.availableForEndpoints();
            UpstreamRequest e = begin(node, LONG_NS);
            peer.await("mg");
            loop.execute(() -> node.cancel(e));
            loop.execute(() -> node.cancel(e));
            assertEquals(outcome(), Outcome.CANCELLED);
            assertEquals(peer.await("closed"), "closed");
            UpstreamRequest next = begin(node, LONG_NS);
            peer.await("mg");
            loop.execute(() -> node.cancel(next));
            assertEquals(outcome(), Outcome.CANCELLED);
            peer.await("closed");
            while (descriptors.availableForEndpoints() < before) {
                Thread.onSpinWait();
            }
            assertTrue(ended.isEmpty());
        }
    }

    @Test
    public void aSecondAnswerEndsNothingTwiceAndItsConnectionIsGivenUp() throws Exception {
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> "EN O1\r\nEN O1\r\n")) {
            EndpointConnectionPool node = node(peer.port, false, new DescriptorBudget(100));
            begin(node, LONG_NS);
            assertEquals(outcome(), Outcome.CACHE_MISS);
            assertEquals(peer.await("closed"), "closed");
            assertTrue(ended.isEmpty());
            begin(node, LONG_NS);
            assertEquals(outcome(), Outcome.CACHE_MISS);
            assertEquals(peer.connections.get(), 2);
        }
    }

    /**
     * Bad nodes, first score: a second answer of the origin, which names no id, was passed on for the next
     * query.
     */
    @Test
    public void anAnswerWithMoreBehindItCountsAndItsConnectionServesNoOther() throws Exception {
        String once = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
        for (String more : List.of(once, "noise")) {
            try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> once + more)) {
                EndpointConnectionPool node = node(peer.port, true, new DescriptorBudget(100));
                for (int i = 1; i <= 3; i++) {
                    begin(node, LONG_NS);
                    assertEquals(outcome(), Outcome.SUCCEEDED);
                    assertEquals(peer.connections.get(), i);
                }
            }
        }
    }

    @Test
    public void aConnectionRestsBetweenTwoSoThatWhatComesLateIsNobodys() throws Exception {
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(
            message -> "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")) {
            EndpointConnectionPool node = node(peer.port, true, new DescriptorBudget(100), LONG_NS);
            begin(node, LONG_NS);
            assertEquals(outcome(), Outcome.SUCCEEDED);
            peer.say("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
            begin(node, LONG_NS);
            assertEquals(new String(ended.poll(20, TimeUnit.SECONDS).response()), "VA 1 O1\r\na\r\n");
            assertEquals(peer.await("closed"), "closed");
            assertEquals(peer.connections.get(), 2);
        }
    }

    @Test
    public void aConnectionIsUsedAgainUntilTheNodeIsAnother() throws Exception {
        Function<String, String> answer = message -> "EN O1\r\n";
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(answer);
            ScriptedPeers.Peer moved = new ScriptedPeers.Peer(answer)) {
            EndpointConnectionPool node = node(peer.port, false, new DescriptorBudget(100));
            for (int i = 0; i < 3; i++) {
                begin(node, LONG_NS);
                assertEquals(outcome(), Outcome.CACHE_MISS);
            }
            assertEquals(peer.connections.get(), 1);
            loop.execute(() -> node.onListed(member(peer.port, 5), false));
            assertEquals(peer.await("closed"), "closed", "a new start");
            begin(node, LONG_NS);
            assertEquals(outcome(), Outcome.CACHE_MISS);
            assertEquals(peer.connections.get(), 2);
            loop.execute(() -> node.onListed(member(moved.port, 5), false));
            begin(node, LONG_NS);
            assertEquals(outcome(), Outcome.CACHE_MISS);
            assertEquals(moved.connections.get(), 1, "a new address");
            loop.execute(node::onRemoved);
            assertEquals(moved.await("closed"), "closed");
        }
    }

    // ---- narrow moments: news between a decision and its first byte

    /** What may come between the two; the node's peer is to hear nothing of the request then. */
    private enum News {
        DRAINS(Outcome.NO_CONNECTION), GONE(Outcome.NO_CONNECTION), OUT_BY_HAND(Outcome.NO_CONNECTION),
        STARTED_ANEW(Outcome.NO_CONNECTION), MOVED(Outcome.NO_CONNECTION), CLIENT_LEFT(Outcome.NOT_SENT),
        CALLED_OFF(Outcome.NO_CONNECTION), LEFT_AND_CALLED_OFF(Outcome.NOT_SENT);

        private final Outcome end;

        News(Outcome end) {
            this.end = end;
        }

        private void reach(EndpointConnectionPool node, UpstreamRequest e, ScriptedPeers.Peer peer,
                           ScriptedPeers.Peer other) {
            e.request.clientDisconnected = this == CLIENT_LEFT || this == LEFT_AND_CALLED_OFF;
            switch (this) {
                case DRAINS -> node.onListed(member(peer.port, 0, EndpointPhase.DRAINING), false);
                case GONE -> node.onRemoved();
                case OUT_BY_HAND -> node.setAdministrativelyDrained(true);
                case STARTED_ANEW -> node.onListed(member(peer.port, 5), false);
                case MOVED -> node.onListed(member(other.port, 0), false);
                case CALLED_OFF, LEFT_AND_CALLED_OFF -> node.cancel(e);
                default -> {}
            }
        }
    }

    @DataProvider
    Object[][] news() {
        Object[][] all = new Object[News.values().length][];
        for (News n : News.values()) {
            all[n.ordinal()] = new Object[] {n};
        }
        return all;
    }

    /** The connect has begun in the same turn of the loop, so it comes up after the news each time. */
    @Test(dataProvider = "news")
    public void nothingBeginsOnAConnectionThatComesUpAfterTheNews(News news) throws Exception {
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> null);
            ScriptedPeers.Peer other = new ScriptedPeers.Peer(message -> null)) {
            EndpointConnectionPool node = node(peer.port, false, new DescriptorBudget(100));
            UpstreamRequest e = request(node, SHORT_NS);
            loop.execute(() -> {
                node.start(e);
                news.reach(node, e, peer, other);
            });
            assertEquals(outcome(), news.end);
            heardNothing(peer, other);
        }
    }

    /** The place comes free in the same turn as the news. */
    @Test(dataProvider = "news")
    public void nothingBeginsAtAPlaceThatComesFreeAfterTheNews(News news) throws Exception {
        try (ScriptedPeers.Peer holds = new ScriptedPeers.Peer(message -> null);
            ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> null);
            ScriptedPeers.Peer other = new ScriptedPeers.Peer(message -> null)) {
            DescriptorBudget descriptors = new DescriptorBudget(2 + 8 + 2);
            EndpointConnectionPool holder = node(holds.port, false, descriptors);
            EndpointConnectionPool node = node(peer.port, false, descriptors);
            UpstreamRequest first = begin(holder, LONG_NS);
            UpstreamRequest e = request(node, LONG_NS);
            assertNotNull(holds.await("mg"));
            loop.execute(() -> {
                node.start(e);
                news.reach(node, e, peer, other);
                holder.cancel(first);
            });
            List<Outcome> ends = new ArrayList<>(List.of(outcome(), outcome()));
            assertTrue(ends.remove(Outcome.CANCELLED), "the one that held the place");
            assertEquals(ends, List.of(news.end));
            heardNothing(peer, other);
        }
    }

    /**
     * How a repeat is held up until its time to go out is over: by its connect, or by all places being taken.
     */
    @DataProvider
    Object[][] heldUp() {
        return new Object[][] {{false}, {true}};
    }

    /**
     * A repeat was decided on while nodes knew it for one, and went out when its connection came up, after
     * that (zone+brink, sent again outside its window).
     */
    @Test(dataProvider = "heldUp")
    public void aRepeatDoesNotGoOutOnceItIsNoneAnyMore(boolean place) throws Exception {
        try (ScriptedPeers.Peer holds = new ScriptedPeers.Peer(message -> null);
            ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> null)) {
            DescriptorBudget descriptors = new DescriptorBudget(place ? 2 + 8 + 2 : 100);
            EndpointConnectionPool holder = node(holds.port, false, descriptors);
            EndpointConnectionPool node = node(peer.port, false, descriptors);
            UpstreamRequest first = begin(holder, LONG_NS);
            UpstreamRequest e = request(node, LONG_NS, clock.now() + SHORT_NS / 2);
            assertNotNull(holds.await("mg"));
            loop.execute(() -> {
                node.start(e);
                while (clock.now() < e.sendDeadlineNanos) {
                    Thread.onSpinWait(); // the connect is answered meanwhile, and the place comes free
                }
                holder.cancel(first);
            });
            List<Outcome> ends = new ArrayList<>(List.of(outcome(), outcome()));
            assertTrue(ends.remove(Outcome.CANCELLED), "the one that held the place");
            assertEquals(ends, List.of(Outcome.NOT_SENT));
            heardNothing(peer);
        }
    }

    @Test
    public void aRepeatThatWentOutInTimeHasItsAnswerLater() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> {
            try {
                go.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return "EN O1\r\n";
        })) {
            EndpointConnectionPool node = node(peer.port, false, new DescriptorBudget(100));
            UpstreamRequest e = request(node, LONG_NS, clock.now() + SHORT_NS);
            loop.execute(() -> node.start(e));
            assertNotNull(peer.await("mg"));
            while (clock.now() < e.sendDeadlineNanos) {
                Thread.onSpinWait();
            }
            CountDownLatch turns = new CountDownLatch(1);
            // by then the alarm has gone off
            loop.execute(() -> loop.schedule(SHORT_NS / 10, turns::countDown));
            turns.await();
            go.countDown();
            assertEquals(outcome(), Outcome.CACHE_MISS);
        }
    }

    private static void heardNothing(ScriptedPeers.Peer... peers) {
        for (ScriptedPeers.Peer p : peers) {
            assertTrue(p.heard.stream().noneMatch(m -> m.startsWith("mg")), "nothing was sent on");
        }
    }

    @DataProvider
    Object[][] whatComesToAnIdleConnection() {
        String again = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb";
        return new Object[][] {{false, null}, {true, null}, {false, "VA 1 O1\r\nb\r\n"}, {true, again},
            {true, "x"}};
    }

    /**
     * The loop is held up while it comes, so it can't have been told of it when the next query is written.
     */
    @Test(dataProvider = "whatComesToAnIdleConnection")
    public void whatStandsUnreadOnAnIdleConnectionIsSeenBeforeAQueryIsRiskedOnIt(boolean origin, String comes)
        throws Exception {
        String answer = origin ? "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na" : "VA 1 O1\r\na\r\n";
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> answer)) {
            EndpointConnectionPool node = node(peer.port, origin, new DescriptorBudget(100));
            begin(node, LONG_NS);
            assertEquals(outcome(), Outcome.SUCCEEDED);
            UpstreamRequest next = request(node, LONG_NS);
            loop.execute(() -> {
                try {
                    if (comes == null) {
                        peer.hangUp();
                    } else {
                        peer.say(comes);
                    }
                } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                node.start(next);
            });
            UpstreamReply reply = ended.poll(20, TimeUnit.SECONDS);
            assertEquals(reply.outcome(), Outcome.SUCCEEDED);
            assertEquals(new String(reply.response()), "VA 1 O1\r\na\r\n", "its own answer");
            assertEquals(peer.connections.get(), 2);
        }
    }

    /**
     * What meets while the loop is held up: an alarm that is due goes off first, then sockets are read, then
     * what is told.
     */
    @DataProvider
    Object[][] meetings() {
        String answer = "EN O1\r\n";
        return new Object[][] {{answer, false, false, Outcome.CACHE_MISS},
            {answer, true, false, Outcome.CACHE_MISS},
            {answer, false, true, Outcome.TIMED_OUT}, {answer, true, true, Outcome.TIMED_OUT},
            {"", false, false, Outcome.CONNECTION_LOST},
            {"", true, false, Outcome.CANCELLED}, {"", false, true, Outcome.TIMED_OUT},
            {"", true, true, Outcome.TIMED_OUT},
            {null, true, false, Outcome.CANCELLED}, {null, true, true, Outcome.TIMED_OUT},
            {null, false, true, Outcome.TIMED_OUT}};
    }

    /** An answer or an end, a call off and the time being over, all together: one end of the request. */
    @Test(dataProvider = "meetings")
    public void whateverMeetsInOneTurnARequestEndsOnce(String says, boolean calledOff, boolean late,
                                                       Outcome outcome)
        throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch went = new CountDownLatch(1);
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> null)) {
            EndpointConnectionPool node = node(peer.port, false, new DescriptorBudget(100));
            UpstreamRequest e = begin(node, late ? SHORT_NS : LONG_NS);
            assertNotNull(peer.await("mg"));
            loop.execute(() -> {
                held.countDown();
                try {
                    went.await();
                } catch (InterruptedException broken) {
                    throw new IllegalStateException(broken);
                }
                if (calledOff) {
                    // after the next look at the sockets
                    loop.execute(() -> node.cancel(e));
                }
            });
            held.await();
            if (says != null && says.isEmpty()) {
                peer.hangUp();
            } else if (says != null) {
                peer.say(says);
            }
            while (late && clock.now() <= e.deadlineNanos) {
                Thread.onSpinWait();
            }
            went.countDown();
            assertEquals(outcome(), outcome);
            CountDownLatch turns = new CountDownLatch(1);
            loop.execute(() -> loop.execute(() -> loop.execute(turns::countDown)));
            turns.await();
            assertTrue(ended.isEmpty(), "ended once");
        }
    }
}
