package spurroad.testbed.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * One process of a proxy. Thread-safe.
 *
 * @param pid its process id
 * @param admin a client of its admin server
 * @param configurationFile the file that it reads its configuration from
 */
record RunningProxy(long pid, AdminClient admin, Path configurationFile) {
    private static final long POLL_INTERVAL_MS = 10;
    private static final long SIGNAL_TIMEOUT_SECONDS = 5;

    boolean isAlive() {
        return ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false);
    }

    /** Sends a signal by its name without "SIG". */
    void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(pid))
                .redirectError(ProcessBuilder.Redirect.DISCARD).start()
                .waitFor(SIGNAL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (IOException e) {
            throw new IllegalStateException("no kill command", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills the process without waiting for its end. */
    void destroy() {
        ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
    }

    /** Waits for the end of the process; returns false if the timeout elapsed first. */
    boolean awaitEnd(long timeoutMs) throws InterruptedException {
        for (long waitedMs = 0; isAlive() && waitedMs < timeoutMs; waitedMs += POLL_INTERVAL_MS) {
            Thread.sleep(POLL_INTERVAL_MS);
        }
        return !isAlive();
    }

    /** Waits until the process reports that it is ready; returns false if it ends, or the timeout elapses. */
    boolean awaitReady(long timeoutMs) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (System.nanoTime() < deadline && isAlive()) {
            if (admin.isReady()) {
                return true;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        return false;
    }
}
