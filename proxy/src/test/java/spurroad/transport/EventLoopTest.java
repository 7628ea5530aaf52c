package spurroad.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.Pipe;
import java.nio.channels.SelectionKey;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** The order in which tasks and timers run, and the reported arrival times of bytes. */
public class EventLoopTest {
    private static final long STALL_NANOS = 200_000_000L;
    private final EventLog log = new EventLog();

    @Test
    public void runsTasksOneByOneInOrderEvenAfterFailure() throws InterruptedException {
        EventLoop loop = new EventLoop(log, new Clock());
        new Threads(log).start("loop", loop);
        List<Integer> executed = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        for (int i = 0; i < 500; i++) {
            int taskNumber = i;
            loop.execute(() -> executed.add(taskNumber));
            if (taskNumber == 100) {
                loop.execute(() -> {
                    throw new IllegalStateException("expected failure");
                });
            }
        }
        loop.execute(done::countDown);
        done.await();
        assertEquals(executed, IntStream.range(0, 500).boxed().toList());
        loop.shutdown();
    }

    @Test
    public void runsTimersInDeadlineOrderUnlessCancelled() throws InterruptedException {
        EventLoop loop = new EventLoop(log, new Clock());
        List<Integer> executed = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            loop.schedule(30_000_000, done::countDown);
            loop.schedule(20_000_000, () -> executed.add(3));
            loop.schedule(10_000_000, () -> executed.add(2));
            loop.schedule(-5, () -> executed.add(1));
            EventLoop.Timer cancelled = loop.schedule(15_000_000, () -> executed.add(9));
            cancelled.cancel();
            cancelled.cancel();
        });
        new Threads(log).start("loop", loop);
        done.await();
        assertEquals(executed, List.of(1, 2, 3));
        loop.shutdown();
    }

    /**
     * Guards against treating bytes that arrived while the event loop was held up, or the disconnect of a
     * client, as having just arrived.
     *
     * <p>If every select that takes over 1 ms counts as one that has waited, its wake-up passes for the
     * arrival. On a busy machine a select that finds a ready channel immediately took 3 to 11 ms, as its
     * thread waited for a CPU. Next to twelve busy loops on eight cores the arrival time was 112 ms too late,
     * and the time limit sent to an endpoint exceeded the client's remaining time by as much. The duration of
     * a select can't distinguish the two cases. The previous select can: it did not report the channel, so
     * the bytes arrived after its start.
     */
    @Test
    public void reportsArrivalDuringStallNoLaterThanActual() throws Exception {
        EventLoop loop = new EventLoop(log, new Clock());
        Pipe pipe = Pipe.open();
        CompletableFuture<Long> reportedArrivalNanos = new CompletableFuture<>();
        AtomicLong writtenAtNanos = new AtomicLong();
        loop.execute(() -> {
            try {
                loop.register(pipe.source(), SelectionKey.OP_READ, operations -> {
                    reportedArrivalNanos.complete(loop.earliestArrivalNanos());
                    loop.shutdown();
                });
                loop.schedule(STALL_NANOS, () -> {}); // not due earlier, or the next select would not block
                writtenAtNanos.set(loop.now());
                pipe.sink().write(ByteBuffer.wrap(new byte[1]));
                Thread.sleep(STALL_NANOS / 2 / 1_000_000);
            } catch (IOException | InterruptedException e) {
                reportedArrivalNanos.completeExceptionally(e);
            }
        });
        new Threads(log).start("loop", loop);
        long latenessNanos = reportedArrivalNanos.get(20, TimeUnit.SECONDS) - writtenAtNanos.get();
        assertTrue(latenessNanos <= 0, "reported " + latenessNanos + " ns later than the actual arrival");
    }
}
