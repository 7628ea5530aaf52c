package spurroad.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.Pipe;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.transport.Clock;
import spurroad.transport.Connection;
import spurroad.transport.DescriptorBudget;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;
import spurroad.transport.Threads;

/**
 * Guards against an exception when a response overdraws the memory budget and thereby closes the very client
 * that it is for, because that client reads no responses.
 */
public class SlowClientTest {
    private static final int MORE_THAN_PIPE_CAPACITY_BYTES = 1 << 20;
    private static final long SLOW_MILLIS = 1_300; // longer than the stall timeout under memory pressure

    private final EventLog log = new EventLog();
    private final Clock clock = new Clock();
    private final EventLoop loop = new EventLoop(log, clock);
    private final Threads threads = new Threads(log);
    private ClientConnections clients;

    @BeforeClass
    public void begin() {
        ProxyConfiguration start = new ProxyConfiguration(
            ScriptedPeers.start(1, 256, ScriptedPeers.list(1, true)));
        LoadBalancerThread loadBalancer = new LoadBalancerThread(start, threads, loop, log, clock,
            new DescriptorBudget(8), SocketFactory.TCP, 0);
        clients = new ClientConnections(start, loop, log, loadBalancer, 8);
        threads.start("loop", loop);
    }

    @AfterClass
    public void end() {
        loop.shutdown();
    }

    private <T> T onLoop(Callable<T> work) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                result.complete(work.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return result.get(10, TimeUnit.SECONDS);
    }

    private Pipe accept(Pipe responses) throws Exception {
        Pipe commands = Pipe.open();
        return onLoop(() -> {
            responses.sink().configureBlocking(false);
            clients.onAccepted(new Connection(loop, commands.source(), responses.sink(), () -> {}), false);
            return commands;
        });
    }

    private static void send(Pipe commands, String id) throws IOException {
        commands.sink().write(ByteBuffer.wrap(("mg k v O" + id + " Pc=read,d=60000\r\n").getBytes()));
    }

    private ProxiedRequest request(String id) throws Exception {
        for (int i = 0; i < 1000; i++) {
            ProxiedRequest request = onLoop(() -> clients.openRequests.get(id));
            if (request != null) {
                return request;
            }
            Thread.sleep(5);
        }
        throw new AssertionError("no request in flight with id " + id);
    }

    private boolean answer(ProxiedRequest request, int bytes) throws Exception {
        return onLoop(() -> {
            request.client.answer(request, new byte[bytes], OutcomeStatistics.End.SUCCEEDED, null, null);
            return true;
        });
    }

    @Test
    public void closesSlowClientWhenResponseOverdrawsMemory() throws Exception {
        Pipe commands = accept(Pipe.open());
        for (String id : new String[] {"1", "2", "3"}) {
            send(commands, id);
        }
        ProxiedRequest third = request("3");
        answer(request("1"), MORE_THAN_PIPE_CAPACITY_BYTES);
        Thread.sleep(SLOW_MILLIS);
        ProxiedRequest second = request("2");
        long reservedBytes = Integer.MAX_VALUE;
        onLoop(() -> {
            clients.requestMemory.forceReserve(reservedBytes);
            return true;
        });
        assertTrue(answer(second, 1), "the response is handled without an exception");
        assertEquals(clients.count(), 0);
        assertTrue(third.clientDisconnected, "the third request is abandoned");
        onLoop(() -> {
            clients.requestMemory.release(reservedBytes);
            return true;
        });
        assertEquals(clients.requestMemory.usedFraction(), 0.0);
        assertTrue(clients.openRequests.isEmpty());
    }
}
