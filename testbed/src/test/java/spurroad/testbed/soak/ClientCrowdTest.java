package spurroad.testbed.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A real proxy process, started by the deploy file, beside hundreds of clients that cost it memory. */
public class ClientCrowdTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final int CLIENTS = 700;
    private static final int DESCRIPTORS = 1_024;
    private static final long SEED = 78;
    private static final long PLAY_MS = 7_000;
    private static final int NODES = 3;
    private static final int MANY_NODES = 3_200;
    private static final long CHECK_INTERVAL_MS = 50;
    /** A connection may be closed for want of descriptors as long as the crowd's are not. */
    private static final long RECOVERY_MS = 3_000;
    /** The timeout that the read states, and half a second in which a response is late but not lost. */
    private static final int ANSWER_TIMEOUT_MS = 2_000;

    @DataProvider
    Object[][] crowds() {
        List<Object[]> rows = new ArrayList<>();
        for (CrowdBehavior behavior : CrowdBehavior.COSTING_MEMORY) {
            rows.add(new Object[] {List.of(behavior), 128, NODES});
        }
        for (int memoryMb : new int[] {96, 128, 192, 256}) {
            rows.add(new Object[] {CrowdBehavior.COSTING_MEMORY, memoryMb, NODES});
        }
        rows.add(new Object[] {CrowdBehavior.COSTING_MEMORY, 128, MANY_NODES});
        rows.add(
            new Object[] {List.of(CrowdBehavior.READS_SLOWLY, CrowdBehavior.WRITES_AHEAD), 192, MANY_NODES});
        return rows.toArray(Object[][]::new);
    }

    /** Guards against input, values and responses of a crowd that exhaust the heap or the memory limit. */
    @Test(dataProvider = "crowds")
    public void crowdDoesNotExhaustMemory(List<CrowdBehavior> behaviors, int memoryMb, int listedNodes)
        throws Exception {
        SoakSettings settings = new SoakSettings(SEED, 1, 1, NODES, PlantedFault.NONE,
            new SoakSettings.Limits(memoryMb, DESCRIPTORS));
        SoakEnvironment environment = new SoakEnvironment(settings, new FleetList(NODES, listedNodes),
            ROOT, Files.createTempDirectory("crowd"));
        ScheduledExecutorService checks = Executors.newSingleThreadScheduledExecutor();
        try {
            ProxyHost proxy = environment.proxies.get(0);
            proxy.start(StartCondition.PLAIN);
            checks.scheduleAtFixedRate(proxy::checkProcess, 0, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            int connections = new Crowd(proxy.port(), CLIENTS, behaviors, SEED).play(PLAY_MS);
            assertTrue(connections >= CLIENTS, "only " + connections + " connections");
            assertTrue(proxy.isRunning(), "the process has ended by itself");
            awaitAnswer(proxy.port());
            checks.shutdown();
            checks.awaitTermination(1, TimeUnit.SECONDS);
            SoakResult result = environment.checker.result();
            assertEquals(result.counts(), Map.of(), result.violations().toString());
        } finally {
            checks.shutdownNow();
            environment.close();
        }
    }

    /** Requires a request that is sent now to be answered in time; new connections may be reset at first. */
    private static void awaitAnswer(int port) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RECOVERY_MS);
        String response = read(port);
        while (!response.startsWith("VA ") && !response.startsWith("SERVER_ERROR busy")) {
            assertTrue(System.nanoTime() < deadline, "read after the crowd has left: " + response);
            Thread.sleep(CHECK_INTERVAL_MS);
            response = read(port);
        }
    }

    /** Returns the first line of the response to a read; the exception if the connection is reset. */
    private static String read(int port) {
        try (Socket socket = Sockets.connect(port)) {
            socket.setSoTimeout(ANSWER_TIMEOUT_MS);
            Sockets.write(socket.getOutputStream(), "mg k v Ocrowd-after Pc=read,t=acme,d=1500\r\n");
            return String.valueOf(Sockets.readLine(socket.getInputStream()));
        } catch (SocketTimeoutException e) {
            throw new AssertionError("no response within " + ANSWER_TIMEOUT_MS + " ms", e);
        } catch (IOException e) {
            return e.toString();
        }
    }
}
