package spurroad.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.testng.annotations.Test;

/** Logging while the reader of the log is stalled. */
public class EventLogTest {
    private static final int LINE_COUNT = 10_000;
    private static final long TIMEOUT_SECONDS = 20;

    /** Blocks until it is opened, like a write to a full pipe. */
    private static final class BlockedHandler extends Handler {
        private final CountDownLatch opened = new CountDownLatch(1);
        private final List<String> lines = new CopyOnWriteArrayList<>();

        @Override
        public void publish(LogRecord line) {
            try {
                opened.await();
                lines.add(line.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    @Test
    public void doesNotBlockIfLogReaderHasStopped() throws Exception {
        Logger logger = Logger.getLogger("spurroad");
        BlockedHandler blocked = new BlockedHandler();
        logger.addHandler(blocked);
        try {
            EventLog log = new EventLog();
            CountDownLatch logged = new CountDownLatch(1);
            Thread writer = new Thread(() -> {
                for (int i = 0; i < LINE_COUNT; i++) {
                    log.info("event " + i, "field");
                }
                logged.countDown();
            });
            writer.setDaemon(true);
            writer.start();
            assertTrue(logged.await(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                "logging has waited for the reader of the log");
            blocked.opened.countDown();
            log.flush(TIMEOUT_SECONDS * 1_000);
            assertEquals(blocked.lines.get(0), "event 0: field");
            assertTrue(blocked.lines.stream().anyMatch(line -> line.startsWith("log lines dropped: count=")));
            log.info("last event", "field");
            log.flush(TIMEOUT_SECONDS * 1_000);
            assertTrue(blocked.lines.get(blocked.lines.size() - 1).startsWith("last event: field"),
                blocked.lines.get(blocked.lines.size() - 1));
        } finally {
            logger.removeHandler(blocked);
        }
    }
}
