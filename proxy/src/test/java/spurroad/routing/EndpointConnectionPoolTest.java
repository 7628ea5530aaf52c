package spurroad.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
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
import org.testng.annotations.BeforeMethod;
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
import spurroad.transport.GrowthBudget;
import spurroad.transport.MemoryBudget;
import spurroad.transport.Threads;

public class EndpointConnectionPoolTest {
    private static final long LONG_TIMEOUT_NANOS = 20_000 * 1_000_000L;
    private static final long SHORT_TIMEOUT_NANOS = 200 * 1_000_000L;
    private final EventLog log = new EventLog();
    private final Clock clock = new Clock();
    private final EventLoop loop = new EventLoop(log, clock);
    private final BlockingQueue<UpstreamReply> ended = new LinkedBlockingQueue<>();
    private final AtomicInteger forwarded = new AtomicInteger();
    private GrowthBudget replyMemory;
    private MemoryBudget headMemory;

    @BeforeClass
    public void start() {
        new Threads(log).start("loop", loop);
    }

    @BeforeMethod
    public void renewMemory() {
        replyMemory = new GrowthBudget(MetaCommand.MAX_VALUE_BYTES, loop::execute);
        headMemory = new MemoryBudget(MetaCommand.MAX_VALUE_BYTES);
        forwarded.set(0);
    }

    @AfterClass
    public void end() {
        loop.shutdown();
    }

    private EndpointConnectionPool pool(int port, boolean origin, DescriptorBudget descriptors) {
        return pool(port, origin, descriptors, 0);
    }

    private EndpointConnectionPool pool(int port, boolean origin, DescriptorBudget descriptors,
                                        long reuseDelayNanos) {
        return new EndpointConnectionPool(
            new EndpointConnectionPool.Environment(loop, log, new RuleMonitor(log), descriptors,
                new ReplyMemory(replyMemory, headMemory),
                SHORT_TIMEOUT_NANOS,
                LONG_TIMEOUT_NANOS,
                reuseDelayNanos, SocketFactory.TCP,
                () -> {}, (attempt, reply) -> ended.add(reply), forwarded::incrementAndGet),
            listed(port, 0), origin);
    }

    private static ListedEndpoint listed(int port, long started) {
        return listed(port, started, EndpointPhase.READY);
    }

    private static ListedEndpoint listed(int port, long started, EndpointPhase phase) {
        return new ListedEndpoint(
            new Endpoint(new EndpointId(1), new EndpointKindId(0), new ZoneId(0), new CellId(0), started, 1,
                phase),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    private UpstreamRequest begin(EndpointConnectionPool pool, long timeoutNanos) throws IOException {
        UpstreamRequest attempt = request(pool, timeoutNanos);
        loop.execute(() -> pool.start(attempt));
        return attempt;
    }

    private UpstreamRequest request(EndpointConnectionPool pool, long timeoutNanos) throws IOException {
        return request(pool, timeoutNanos, Long.MAX_VALUE);
    }

    private UpstreamRequest request(EndpointConnectionPool pool, long timeoutNanos, long sendDeadlineNanos)
        throws IOException {
        MetaCommand command = MetaCommand.read(new ByteSource(new ByteArrayInputStream(
            "mg k v O1 Pc=read,d=480\r\n".getBytes())));
        ProxiedRequest request = new ProxiedRequest(null, command, new RequestClassId(0), null, null, 0, 0);
        return new UpstreamRequest(request, 0, pool, clock.now() + timeoutNanos, sendDeadlineNanos, 0);
    }

    private Outcome outcome() throws InterruptedException {
        UpstreamReply reply = ended.poll(20, TimeUnit.SECONDS);
        assertNotNull(reply, "the attempt did not end within 20 s");
        return reply.outcome();
    }

    @DataProvider
    Object[][] replies() {
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

    @Test(dataProvider = "replies")
    public void replyDeterminesOutcome(boolean origin, String reply, Outcome outcome)
        throws Exception {
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> reply)) {
            begin(pool(peer.port, origin, new DescriptorBudget(100)),
                outcome == Outcome.TIMED_OUT ? SHORT_TIMEOUT_NANOS : LONG_TIMEOUT_NANOS);
            assertEquals(outcome(), outcome);
            assertTrue(peer.await(origin ? "GET /k" : "mg k v O1 Pc=read,d=").length() > 5);
            if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CONNECTION_LOST) {
                assertEquals(peer.await("closed"), "closed");
            }
        }
    }

    /**
     * Guards against a connection that is not read any more: its last reply became complete by what had been
     * read before it waited for memory.
     */
    @Test
    public void connectionIsReusableAfterReplyWaitedForMemory() throws Exception {
        String value = "x".repeat(65_600);
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> "HTTP/1.1 200 OK\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n10040\r\n" + value + "\r\n0\r\n\r\n")) {
            EndpointConnectionPool pool = pool(peer.port, true, new DescriptorBudget(100));
            GrowthBudget.Reservation other = replyMemory.open(MetaCommand.MAX_VALUE_BYTES);
            loop.execute(() -> {
                other.tryGrow(MetaCommand.MAX_VALUE_BYTES - 66_000);
                other.complete();
            });
            begin(pool, LONG_TIMEOUT_NANOS);
            Thread.sleep(SHORT_TIMEOUT_NANOS / 1_000_000);
            assertTrue(ended.isEmpty(), "the reply needs memory");
            loop.execute(other::release);
            assertEquals(outcome(), Outcome.SUCCEEDED);
            begin(pool, LONG_TIMEOUT_NANOS);
            assertEquals(outcome(), Outcome.SUCCEEDED);
            assertEquals(peer.connections.get(), 1);
        }
    }

    @DataProvider
    Object[][] longHeads() {
        return new Object[][] {{4 * 1024, Outcome.CONNECTION_LOST}, {40 * 1024, Outcome.CONNECTION_LOST},
            {80 * 1024, Outcome.SUCCEEDED}};
    }

    /** Guards against heads of replies, up to 800 KB on each connection, that no budget counts. */
    @Test(dataProvider = "longHeads")
    public void holdsNoMoreOfHeadThanMemoryAllows(int headBytes, Outcome expected) throws Exception {
        headMemory = new MemoryBudget(headBytes);
        String headers = ("x: " + "y".repeat(8_000) + "\r\n").repeat(8);
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(
            message -> "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 1\r\n\r\na")) {
            begin(pool(peer.port, true, new DescriptorBudget(100)), LONG_TIMEOUT_NANOS);
            assertEquals(outcome(), expected);
            CountDownLatch released = new CountDownLatch(1);
            loop.execute(released::countDown); // runs after what ended the attempt
            released.await();
            assertEquals(headMemory.usedFraction(), 0.0);
        }
    }

    @DataProvider
    Object[][] wholeValues() {
        return new Object[][] {{false, 65_536}, {false, 40_000}, {true, 65_536}, {true, 40_000}};
    }

    /**
     * Guards against values for which no memory is reserved: clients that sent 16 reads at once and took the
     * values slowly exhausted the heap.
     */
    @Test(dataProvider = "wholeValues")
    public void holdsNoMoreValuesThanMemoryAllows(boolean origin, int length) throws Exception {
        String value = "x".repeat(length);
        int attemptCount = 2 * MetaCommand.MAX_VALUE_BYTES / length;
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(
            message -> origin ? "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + value
                : "VA " + length + " O1\r\n" + value + "\r\n")) {
            EndpointConnectionPool pool = pool(peer.port, origin, new DescriptorBudget(1_000));
            List<UpstreamRequest> attempts = new ArrayList<>();
            for (int i = 0; i < attemptCount; i++) {
                attempts.add(begin(pool, LONG_TIMEOUT_NANOS));
                assertNotNull(peer.await(origin ? "GET" : "mg"));
            }
            for (int i = 0; i < MetaCommand.MAX_VALUE_BYTES / length - 1; i++) {
                assertEquals(outcome(), Outcome.SUCCEEDED);
            }
            Thread.sleep(SHORT_TIMEOUT_NANOS / 1_000_000);
            assertTrue(ended.size() <= 1, ended.size() + " more values are held than there is memory for");
            loop.execute(() -> releaseAsTheyEnd(attempts));
            for (int i = MetaCommand.MAX_VALUE_BYTES / length - 1; i < attemptCount; i++) {
                assertEquals(outcome(), Outcome.SUCCEEDED);
            }
        }
    }

    private void releaseAsTheyEnd(List<UpstreamRequest> attempts) {
        attempts.stream().filter(attempt -> attempt.ended).forEach(UpstreamRequest::abandonReply);
        List<UpstreamRequest> open = attempts.stream().filter(attempt -> !attempt.ended).toList();
        if (!open.isEmpty()) {
            loop.execute(() -> releaseAsTheyEnd(open));
        }
    }

    @DataProvider
    Object[][] streamEnds() {
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

    /**
     * Guards against a truncated value that is forwarded as complete: a reset is not the end of a response
     * that has no length.
     */
    @Test(dataProvider = "streamEnds")
    public void replyWithoutLengthIsCompleteOnlyAfterOrderlyEnd(String response, boolean reset,
                                                                Outcome outcome)
        throws Exception {
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> response)) {
            begin(pool(peer.port, true, new DescriptorBudget(100)), LONG_TIMEOUT_NANOS);
            peer.say(""); // waits until the reply was written
            if (reset) {
                peer.reset();
            } else {
                peer.closeConnection();
            }
            assertEquals(outcome(), outcome);
        }
    }

    @Test
    public void attemptWithoutConnectionEndsWithoutBeingSent() throws Exception {
        int closedPort;
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closedPort = s.getLocalPort();
        }
        begin(pool(closedPort, false, new DescriptorBudget(100)), LONG_TIMEOUT_NANOS);
        assertEquals(outcome(), Outcome.NO_CONNECTION, "refused");
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> null)) {
            DescriptorBudget descriptors = new DescriptorBudget(2 + 8 + 2);
            EndpointConnectionPool pool = pool(peer.port, false, descriptors);
            begin(pool, LONG_TIMEOUT_NANOS);
            peer.await("mg");
            begin(pool, LONG_TIMEOUT_NANOS);
            assertEquals(outcome(), Outcome.NOT_SENT, "no descriptor left");
        }
    }

    @Test
    public void cancelClosesConnectionAndEndsAttemptOnce() throws Exception {
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> null)) {
            DescriptorBudget descriptors = new DescriptorBudget(100);
            EndpointConnectionPool pool = pool(peer.port, false, descriptors);
            int before = descriptors.availableForEndpoints();
            UpstreamRequest attempt = begin(pool, LONG_TIMEOUT_NANOS);
            peer.await("mg");
            loop.execute(() -> pool.cancel(attempt));
            loop.execute(() -> pool.cancel(attempt));
            assertEquals(outcome(), Outcome.CANCELLED);
            assertEquals(peer.await("closed"), "closed");
            UpstreamRequest next = begin(pool, LONG_TIMEOUT_NANOS);
            peer.await("mg");
            loop.execute(() -> pool.cancel(next));
            assertEquals(outcome(), Outcome.CANCELLED);
            peer.await("closed");
            while (descriptors.availableForEndpoints() < before) {
                Thread.onSpinWait();
            }
            assertTrue(ended.isEmpty());
        }
    }

    /** How the proxy gives up a write, and the outcome of the attempt. */
    private enum GivenUp {
        DEADLINE(Outcome.TIMED_OUT), SEND_DEADLINE(Outcome.CANCELLED), CANCEL(Outcome.CANCELLED);

        private final Outcome outcome;

        GivenUp(Outcome outcome) {
            this.outcome = outcome;
        }
    }

    @DataProvider
    Object[][] longWritesGivenUp() {
        return new Object[][] {{GivenUp.DEADLINE, 600_000}, {GivenUp.SEND_DEADLINE, 600_000},
            {GivenUp.CANCEL, 600_000}, {GivenUp.SEND_DEADLINE, 200_000}};
    }

    /**
     * Guards against a write whose last byte reaches an endpoint that takes it in slowly after the write was
     * given up: the kernel went on sending it, and it ran after the deduplication window.
     */
    @Test(dataProvider = "longWritesGivenUp")
    public void writeThatIsGivenUpIsNotDeliveredLater(GivenUp how, int length) throws Exception {
        try (ServerSocket endpoint = new ServerSocket()) {
            endpoint.setReceiveBufferSize(16 * 1024);
            endpoint.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            EndpointConnectionPool pool = pool(endpoint.getLocalPort(), true, new DescriptorBudget(100));
            MetaCommand write = MetaCommand.read(new ByteSource(new ByteArrayInputStream(
                ("ms k " + length + " O1 Pc=put,d=480,k=1\r\n").getBytes())));
            write.valueChunks(List.of(new byte[length]));
            ProxiedRequest request = new ProxiedRequest(null, write, new RequestClassId(0), null, null, 0, 0);
            long now = clock.now();
            UpstreamRequest attempt = new UpstreamRequest(request, 0, pool,
                now + (how == GivenUp.DEADLINE ? SHORT_TIMEOUT_NANOS : LONG_TIMEOUT_NANOS),
                how == GivenUp.SEND_DEADLINE ? now + SHORT_TIMEOUT_NANOS : Long.MAX_VALUE, 0);
            loop.execute(() -> pool.start(attempt));
            try (Socket accepted = endpoint.accept()) {
                while (forwarded.get() == 0) {
                    Thread.sleep(1); // until the kernel has taken all of it
                }
                if (how == GivenUp.CANCEL) {
                    loop.execute(() -> pool.cancel(attempt));
                }
                assertEquals(outcome(), how.outcome);
                Thread.sleep(SHORT_TIMEOUT_NANOS / 1_000_000); // the descriptor is closed a moment later
                assertTrue(readUntilEnd(accepted) < length, "the write was delivered whole");
            }
        }
    }

    /** Returns how many bytes can be read up to the end or the reset of a connection. */
    private static int readUntilEnd(Socket socket) throws IOException {
        byte[] buffer = new byte[8192];
        int total = 0;
        try {
            for (int read = 0; read >= 0; read = socket.getInputStream().read(buffer)) {
                total += read;
            }
        } catch (SocketException e) {
            // reset
        }
        return total;
    }

    @Test
    public void secondReplyEndsNoOtherAttemptAndClosesConnection() throws Exception {
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> "EN O1\r\nEN O1\r\n")) {
            EndpointConnectionPool pool = pool(peer.port, false, new DescriptorBudget(100));
            begin(pool, LONG_TIMEOUT_NANOS);
            assertEquals(outcome(), Outcome.CACHE_MISS);
            assertEquals(peer.await("closed"), "closed");
            assertTrue(ended.isEmpty());
            begin(pool, LONG_TIMEOUT_NANOS);
            assertEquals(outcome(), Outcome.CACHE_MISS);
            assertEquals(peer.connections.get(), 2);
        }
    }

    /**
     * Guards against a second response of the origin, which carries no request id, being forwarded as the
     * response to the next request.
     */
    @Test
    public void replyWithSurplusBytesCountsAndItsConnectionIsNotReused() throws Exception {
        String once = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
        for (String more : List.of(once, "noise")) {
            try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> once + more)) {
                EndpointConnectionPool pool = pool(peer.port, true, new DescriptorBudget(100));
                for (int i = 1; i <= 3; i++) {
                    begin(pool, LONG_TIMEOUT_NANOS);
                    assertEquals(outcome(), Outcome.SUCCEEDED);
                    assertEquals(peer.connections.get(), i);
                }
            }
        }
    }

    @Test
    public void lateSecondReplyIsNotMatchedToNextAttempt() throws Exception {
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(
            message -> "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")) {
            EndpointConnectionPool pool = pool(peer.port, true, new DescriptorBudget(100),
                LONG_TIMEOUT_NANOS);
            begin(pool, LONG_TIMEOUT_NANOS);
            assertEquals(outcome(), Outcome.SUCCEEDED);
            peer.say("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
            begin(pool, LONG_TIMEOUT_NANOS);
            assertEquals(new String(ended.poll(20, TimeUnit.SECONDS).response()), "VA 1 O1\r\na\r\n");
            assertEquals(peer.await("closed"), "closed");
            assertEquals(peer.connections.get(), 2);
        }
    }

    @Test
    public void connectionIsReusedUntilEndpointChanges() throws Exception {
        Function<String, String> reply = message -> "EN O1\r\n";
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(reply);
            ScriptedPeers.Peer moved = new ScriptedPeers.Peer(reply)) {
            EndpointConnectionPool pool = pool(peer.port, false, new DescriptorBudget(100));
            for (int i = 0; i < 3; i++) {
                begin(pool, LONG_TIMEOUT_NANOS);
                assertEquals(outcome(), Outcome.CACHE_MISS);
            }
            assertEquals(peer.connections.get(), 1);
            loop.execute(() -> pool.onListed(listed(peer.port, 5), false));
            assertEquals(peer.await("closed"), "closed", "new start time");
            begin(pool, LONG_TIMEOUT_NANOS);
            assertEquals(outcome(), Outcome.CACHE_MISS);
            assertEquals(peer.connections.get(), 2);
            loop.execute(() -> pool.onListed(listed(moved.port, 5), false));
            begin(pool, LONG_TIMEOUT_NANOS);
            assertEquals(outcome(), Outcome.CACHE_MISS);
            assertEquals(moved.connections.get(), 1, "new address");
            loop.execute(pool::onRemoved);
            assertEquals(moved.await("closed"), "closed");
        }
    }

    // ---- events between the decision on an attempt and its first byte

    /** An event after the decision; the endpoint must not receive the request afterwards. */
    private enum Event {
        DRAINING(Outcome.NO_CONNECTION), REMOVED(Outcome.NO_CONNECTION),
        ADMINISTRATIVELY_DRAINED(Outcome.NO_CONNECTION),
        RESTARTED(Outcome.NO_CONNECTION), MOVED(Outcome.NO_CONNECTION), CLIENT_DISCONNECTED(Outcome.NOT_SENT),
        CANCELLED(Outcome.NO_CONNECTION), DISCONNECTED_AND_CANCELLED(Outcome.NOT_SENT);

        private final Outcome end;

        Event(Outcome end) {
            this.end = end;
        }

        private void apply(EndpointConnectionPool pool, UpstreamRequest attempt, ScriptedPeers.Peer peer,
                           ScriptedPeers.Peer other) {
            attempt.request.clientDisconnected = this == CLIENT_DISCONNECTED
                || this == DISCONNECTED_AND_CANCELLED;
            switch (this) {
                case DRAINING -> pool.onListed(listed(peer.port, 0, EndpointPhase.DRAINING), false);
                case REMOVED -> pool.onRemoved();
                case ADMINISTRATIVELY_DRAINED -> pool.setAdministrativelyDrained(true);
                case RESTARTED -> pool.onListed(listed(peer.port, 5), false);
                case MOVED -> pool.onListed(listed(other.port, 0), false);
                case CANCELLED, DISCONNECTED_AND_CANCELLED -> pool.cancel(attempt);
                default -> {}
            }
        }
    }

    @DataProvider
    Object[][] event() {
        Object[][] all = new Object[Event.values().length][];
        for (Event n : Event.values()) {
            all[n.ordinal()] = new Object[] {n};
        }
        return all;
    }

    /** The connect starts in the same iteration of the loop, so it always completes after the event. */
    @Test(dataProvider = "event")
    public void requestIsNotSentOnConnectionEstablishedAfterEvent(Event event) throws Exception {
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> null);
            ScriptedPeers.Peer other = new ScriptedPeers.Peer(message -> null)) {
            EndpointConnectionPool pool = pool(peer.port, false, new DescriptorBudget(100));
            UpstreamRequest attempt = request(pool, SHORT_TIMEOUT_NANOS);
            loop.execute(() -> {
                pool.start(attempt);
                event.apply(pool, attempt, peer, other);
            });
            assertEquals(outcome(), event.end);
            assertNoRequestReceived(peer, other);
        }
    }

    /** The descriptor is released in the same iteration of the loop as the event. */
    @Test(dataProvider = "event")
    public void requestIsNotSentWithDescriptorReleasedAfterEvent(Event event) throws Exception {
        try (ScriptedPeers.Peer holderPeer = new ScriptedPeers.Peer(message -> null);
            ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> null);
            ScriptedPeers.Peer other = new ScriptedPeers.Peer(message -> null)) {
            DescriptorBudget descriptors = new DescriptorBudget(2 + 8 + 2);
            EndpointConnectionPool holderPool = pool(holderPeer.port, false, descriptors);
            EndpointConnectionPool pool = pool(peer.port, false, descriptors);
            UpstreamRequest first = begin(holderPool, LONG_TIMEOUT_NANOS);
            UpstreamRequest attempt = request(pool, LONG_TIMEOUT_NANOS);
            assertNotNull(holderPeer.await("mg"));
            loop.execute(() -> {
                pool.start(attempt);
                event.apply(pool, attempt, peer, other);
                holderPool.cancel(first);
            });
            List<Outcome> ends = new ArrayList<>(List.of(outcome(), outcome()));
            assertTrue(ends.remove(Outcome.CANCELLED), "the attempt that held the descriptor");
            assertEquals(ends, List.of(event.end));
            assertNoRequestReceived(peer, other);
        }
    }

    /**
     * Returns whether a retry is delayed past its send deadline by a lack of descriptors, rather than by its
     * connect.
     */
    @DataProvider
    Object[][] delays() {
        return new Object[][] {{false}, {true}};
    }

    /**
     * Guards against a retry that is decided on inside the deduplication window, but sent after the window
     * when its connection is established.
     */
    @Test(dataProvider = "delays")
    public void retryIsNotSentAfterItsSendDeadline(boolean descriptorsExhausted) throws Exception {
        try (ScriptedPeers.Peer holderPeer = new ScriptedPeers.Peer(message -> null);
            ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> null)) {
            DescriptorBudget descriptors = new DescriptorBudget(descriptorsExhausted ? 2 + 8 + 2 : 100);
            EndpointConnectionPool holderPool = pool(holderPeer.port, false, descriptors);
            EndpointConnectionPool pool = pool(peer.port, false, descriptors);
            UpstreamRequest first = begin(holderPool, LONG_TIMEOUT_NANOS);
            UpstreamRequest attempt = request(pool, LONG_TIMEOUT_NANOS,
                clock.now() + SHORT_TIMEOUT_NANOS / 2);
            assertNotNull(holderPeer.await("mg"));
            loop.execute(() -> {
                pool.start(attempt);
                while (clock.now() < attempt.sendDeadlineNanos) {
                    Thread.onSpinWait(); // the connect completes meanwhile
                }
                holderPool.cancel(first);
            });
            List<Outcome> ends = new ArrayList<>(List.of(outcome(), outcome()));
            assertTrue(ends.remove(Outcome.CANCELLED), "the attempt that held the descriptor");
            assertEquals(ends, List.of(Outcome.NOT_SENT));
            assertNoRequestReceived(peer);
        }
    }

    @Test
    public void retrySentInTimeReceivesReplyAfterSendDeadline() throws Exception {
        CountDownLatch releaseReply = new CountDownLatch(1);
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> {
            try {
                releaseReply.await();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return "EN O1\r\n";
        })) {
            EndpointConnectionPool pool = pool(peer.port, false, new DescriptorBudget(100));
            UpstreamRequest attempt = request(pool, LONG_TIMEOUT_NANOS, clock.now() + SHORT_TIMEOUT_NANOS);
            loop.execute(() -> pool.start(attempt));
            assertNotNull(peer.await("mg"));
            while (clock.now() < attempt.sendDeadlineNanos) {
                Thread.onSpinWait();
            }
            CountDownLatch iterationsDone = new CountDownLatch(1);
            // by then the timer of the send deadline has fired
            loop.execute(() -> loop.schedule(SHORT_TIMEOUT_NANOS / 10, iterationsDone::countDown));
            iterationsDone.await();
            releaseReply.countDown();
            assertEquals(outcome(), Outcome.CACHE_MISS);
        }
    }

    private static void assertNoRequestReceived(ScriptedPeers.Peer... peers) {
        for (ScriptedPeers.Peer p : peers) {
            assertTrue(p.received.stream().noneMatch(m -> m.startsWith("mg")), "no request was sent");
        }
    }

    @DataProvider
    Object[][] inputOnIdleConnection() {
        String again = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb";
        return new Object[][] {{false, null}, {true, null}, {false, "VA 1 O1\r\nb\r\n"}, {true, again},
            {true, "x"}};
    }

    /**
     * The input arrives while the loop is blocked, so the loop has not reported it when the next request is
     * written.
     */
    @Test(dataProvider = "inputOnIdleConnection")
    public void unreadInputOnIdleConnectionIsNoticedBeforeReuse(boolean origin, String input)
        throws Exception {
        String reply = origin ? "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na" : "VA 1 O1\r\na\r\n";
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> reply)) {
            EndpointConnectionPool pool = pool(peer.port, origin, new DescriptorBudget(100));
            begin(pool, LONG_TIMEOUT_NANOS);
            assertEquals(outcome(), Outcome.SUCCEEDED);
            UpstreamRequest next = request(pool, LONG_TIMEOUT_NANOS);
            loop.execute(() -> {
                try {
                    if (input == null) {
                        peer.closeConnection();
                    } else {
                        peer.say(input);
                    }
                } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                pool.start(next);
            });
            UpstreamReply received = ended.poll(20, TimeUnit.SECONDS);
            assertEquals(received.outcome(), Outcome.SUCCEEDED);
            assertEquals(new String(received.response()), "VA 1 O1\r\na\r\n", "its own response");
            assertEquals(peer.connections.get(), 2);
        }
    }

    /**
     * Returns combinations of events that coincide while the loop is blocked: expired timers run first, then
     * sockets are read, then posted tasks run.
     */
    @DataProvider
    Object[][] coincidingEvents() {
        String reply = "EN O1\r\n";
        return new Object[][] {{reply, false, false, Outcome.CACHE_MISS},
            {reply, true, false, Outcome.CACHE_MISS},
            {reply, false, true, Outcome.TIMED_OUT}, {reply, true, true, Outcome.TIMED_OUT},
            {"", false, false, Outcome.CONNECTION_LOST},
            {"", true, false, Outcome.CANCELLED}, {"", false, true, Outcome.TIMED_OUT},
            {"", true, true, Outcome.TIMED_OUT},
            {null, true, false, Outcome.CANCELLED}, {null, true, true, Outcome.TIMED_OUT},
            {null, false, true, Outcome.TIMED_OUT}};
    }

    /** A response or end of stream, a cancel and a timeout at the same time end the attempt only once. */
    @Test(dataProvider = "coincidingEvents")
    public void coincidingEventsEndAttemptOnce(String response, boolean cancelled, boolean late,
                                               Outcome outcome)
        throws Exception {
        CountDownLatch loopBlocked = new CountDownLatch(1);
        CountDownLatch releaseLoop = new CountDownLatch(1);
        try (ScriptedPeers.Peer peer = new ScriptedPeers.Peer(message -> null)) {
            EndpointConnectionPool pool = pool(peer.port, false, new DescriptorBudget(100));
            UpstreamRequest attempt = begin(pool, late ? SHORT_TIMEOUT_NANOS : LONG_TIMEOUT_NANOS);
            assertNotNull(peer.await("mg"));
            loop.execute(() -> {
                loopBlocked.countDown();
                try {
                    releaseLoop.await();
                } catch (InterruptedException broken) {
                    throw new IllegalStateException(broken);
                }
                if (cancelled) {
                    // after the sockets are read
                    loop.execute(() -> pool.cancel(attempt));
                }
            });
            loopBlocked.await();
            if (response != null && response.isEmpty()) {
                peer.closeConnection();
            } else if (response != null) {
                peer.say(response);
            }
            while (late && clock.now() <= attempt.deadlineNanos) {
                Thread.onSpinWait();
            }
            releaseLoop.countDown();
            assertEquals(outcome(), outcome);
            CountDownLatch iterationsDone = new CountDownLatch(1);
            loop.execute(() -> loop.execute(() -> loop.execute(iterationsDone::countDown)));
            iterationsDone.await();
            assertTrue(ended.isEmpty(), "ended once");
        }
    }
}
