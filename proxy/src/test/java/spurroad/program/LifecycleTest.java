package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** SIGTERM before, during and after the start of a proxy. */
public class LifecycleTest {
    private final List<String> events = new CopyOnWriteArrayList<>();
    private final Lifecycle<String> lifecycle = new Lifecycle<>(s -> events.add("stopped " + s));

    /**
     * Guards against connections lost in the accept queue: the default action of SIGTERM ends the process
     * before it has answered them.
     */
    @Test(timeOut = 60_000)
    public void runsStopDuringStartOnceServiceHasStarted() throws Exception {
        CountDownLatch startBegun = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        Thread starting = new Thread(() -> {
            try {
                lifecycle.start(() -> {
                    startBegun.countDown();
                    release.await();
                    events.add("started");
                    return "s";
                });
            } catch (Exception e) {
                events.add(e.toString());
            }
        });
        starting.start();
        startBegun.await();
        Thread stopping = new Thread(lifecycle::stop);
        stopping.start();
        while (stopping.getState() != Thread.State.BLOCKED) {
            Thread.onSpinWait(); // stop() waits for the start to end
        }
        release.countDown();
        stopping.join();
        starting.join();
        assertEquals(events, List.of("started", "stopped s"));
    }

    @Test(timeOut = 60_000)
    public void startsNothingAfterStop() throws Exception {
        Lifecycle<String> early = new Lifecycle<>(s -> events.add("stopped early"));
        assertFalse(early.stop(), "a service had started before the stop");
        Thread starting = new Thread(() -> {
            try {
                early.start(() -> {
                    events.add("started late");
                    return "s";
                });
            } catch (Exception e) {
                events.add("interrupted");
            }
        });
        starting.start();
        while (starting.getState() != Thread.State.WAITING) {
            assertTrue(starting.isAlive());
            Thread.onSpinWait();
        }
        starting.interrupt();
        starting.join();
        assertFalse(events.contains("started late"));
    }
}
