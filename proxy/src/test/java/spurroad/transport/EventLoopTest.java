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

/** The order in which tasks and timers run, and since when bytes may have been unread. */
public class EventLoopTest {
    private static final long STALL_NANOS = 200_000_000L;
    private final EventLog log = new EventLog();

    @Test
    public void tasksRunInOrderOneAtATimeAlsoAfterOneThatFails() throws InterruptedException {
        EventLoop loop = new EventLoop(log, new Clock());
        new Threads(log).start("loop", loop);
        List<Integer> seen = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        for (int i = 0; i < 500; i++) {
            int n = i;
            loop.execute(() -> seen.add(n));
            if (n == 100) {
                loop.execute(() -> {
                    throw new IllegalStateException("on purpose");
                });
            }
        }
        loop.execute(done::countDown);
        done.await();
        assertEquals(seen, IntStream.range(0, 500).boxed().toList());
        loop.shutdown();
    }

    @Test
    public void timersRunInTheOrderOfTheirDeadlinesUnlessCancelled() throws InterruptedException {
        EventLoop loop = new EventLoop(log, new Clock());
        List<Integer> seen = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            loop.schedule(30_000_000, done::countDown);
            loop.schedule(20_000_000, () -> seen.add(3));
            loop.schedule(10_000_000, () -> seen.add(2));
            loop.schedule(-5, () -> seen.add(1));
            EventLoop.Timer never = loop.schedule(15_000_000, () -> seen.add(9));
            never.cancel();
            never.cancel();
        });
        new Threads(log).start("loop", loop);
        done.await();
        assertEquals(seen, List.of(1, 2, 3));
        loop.shutdown();
    }

    /**
     * Such bytes were taken for just arrived, and so was the end of a client that had disconnected.
     *
     * <p>A select that took over 1 ms counted as one that had waited, so that what it found counted as having
     * come when it woke up. On a busy machine a select that finds a channel at once took 3 to 11 ms, as its
     * thread had to wait for a processor: beside twelve busy loops on eight cores the bytes counted as 112 ms
     * younger than they were, and an endpoint was told that much more time than the client had left. How long
     * a select takes can't tell the two apart; what the select before it did not report can.
     */
    @Test
    public void whatCameWhileTheLoopWasHeldUpHasStoodUnread() throws Exception {
        EventLoop loop = new EventLoop(log, new Clock());
        Pipe pipe = Pipe.open();
        CompletableFuture<Long> arrivedAt = new CompletableFuture<>();
        AtomicLong writtenAt = new AtomicLong();
        loop.execute(() -> {
            try {
                loop.register(pipe.source(), SelectionKey.OP_READ, operations -> {
                    arrivedAt.complete(loop.earliestArrivalNanos());
                    loop.shutdown();
                });
                loop.schedule(STALL_NANOS, () -> {}); // not before: the next turn would not wait
                writtenAt.set(loop.now());
                pipe.sink().write(ByteBuffer.wrap(new byte[1]));
                Thread.sleep(STALL_NANOS / 2 / 1_000_000);
            } catch (IOException | InterruptedException e) {
                arrivedAt.completeExceptionally(e);
            }
        });
        new Threads(log).start("loop", loop);
        long late = arrivedAt.get(20, TimeUnit.SECONDS) - writtenAt.get();
        assertTrue(late <= 0, "reported " + late + " ns later than it had arrived");
    }
}
