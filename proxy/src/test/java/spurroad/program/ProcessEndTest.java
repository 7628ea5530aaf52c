package spurroad.program;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;
import spurroad.overload.Platform;
import spurroad.overload.Platform.Proxy;

/** A real process that gets SIGTERM while requests keep arriving. */
public class ProcessEndTest {
    private static final long LONGEST_TIMEOUT_MILLIS = 1_000;
    /** Earliest kill after SIGTERM: the longest timeout plus 0.7 s. */
    private static final long EARLIEST_KILL_MILLIS = LONGEST_TIMEOUT_MILLIS + 700;
    private static final int CLIENTS = 5;
    private static final long PAUSE_MILLIS = 20;

    /**
     * The process ends before it may be killed.
     *
     * <p>Guards against a kill that comes before the end of the process: with requests in flight to the last,
     * `graceful shutdown ended` is logged 0.5 s after the longest timeout, and the process ran for another
     * 0.32 to 0.36 s. At its end the virtual machine waits up to 0.3 s for threads inside a system call (a
     * program with one such thread took 328 ms to end, without it 10 ms): the event loops were in a select,
     * the endpoint watches in a read. Nothing was lost in that time, as all connections were closed and the
     * log was written.
     */
    @Test
    public void endsBeforeItMayBeKilled() throws Exception {
        AtomicBoolean ended = new AtomicBoolean();
        List<Thread> threads = new ArrayList<>();
        try (Peer node = new Peer(message -> message.startsWith("stats") ? RunningProxy.hit("").apply(message)
            : null);
            Peer discovery = new Peer(message -> RunningProxy.WATCH);
            Platform platform = new Platform()) {
            Proxy proxy = platform.ready(configuration(discovery, node), Platform.fromClasses());
            for (int i = 0; i < CLIENTS; i++) {
                String id = "O" + i;
                Thread client = new Thread(() -> sendUntil(ended, platform.port, id));
                client.start();
                threads.add(client);
            }
            Thread.sleep(10 * PAUSE_MILLIS);
            long signalledAt = System.nanoTime();
            proxy.terminate();
            boolean gone = proxy.ended(TimeUnit.MILLISECONDS.toSeconds(EARLIEST_KILL_MILLIS) + 10);
            long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledAt);
            String log = Files.readString(proxy.log());
            assertTrue(gone && tookMillis < EARLIEST_KILL_MILLIS,
                tookMillis + " ms after the signal: " + log);
            assertTrue(log.contains("graceful shutdown ended"), log);
        } finally {
            ended.set(true);
            for (Thread client : threads) {
                client.join();
            }
        }
    }

    private static String configuration(Peer discovery, Peer node) {
        return ScriptedPeers
            .start(discovery.port, 256, ScriptedPeers.list(1, true,
                ScriptedPeers.target("s-0", "m1", node.port, "active", 0)))
            .replace("\"sloTimeUs\":8000000",
                "\"sloTimeUs\":8000000,\"statementTimeoutUs\":" + 1_000 * LONGEST_TIMEOUT_MILLIS);
    }

    /** Sends reads one after another; the cache node answers none. */
    private static void sendUntil(AtomicBoolean ended, int port, String id) {
        while (!ended.get()) {
            try (Client client = new Client(port)) {
                String line = "";
                while (line != null && !ended.get()) {
                    line = client.say("mg k v " + id + " Pc=read,t=acme,d=9000\r\n").line();
                }
                Thread.sleep(PAUSE_MILLIS);
            } catch (IOException e) {
                continue; // retried on a new connection
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
