package spurroad.transport;

import java.io.IOException;
import java.io.InterruptedIOException;

/**
 * Opens resources that the process can't start without, with retries: the operating system may temporarily
 * refuse a socket or a selector (ENFILE, ENOBUFS, or an address that the previous process has not released
 * yet).
 */
final class StartupRetry {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long TIMEOUT_MILLIS = 2_000; // a part of the 6 s or more that a start may take
    private static final long RETRY_DELAY_MILLIS = 50;

    /** Opens a resource, or throws and leaves nothing open. */
    interface Opener<T> {
        T open() throws IOException;
    }

    private StartupRetry() {}

    /**
     * Opens a resource, with retries until the timeout.
     *
     * @throws IOException the exception of the last attempt
     * @throws InterruptedIOException if the thread is interrupted between two attempts
     */
    static <T> T openWithRetry(Opener<T> opener) throws IOException {
        long deadlineNanos = System.nanoTime() + TIMEOUT_MILLIS * NANOS_PER_MILLI;
        while (true) {
            try {
                return opener.open();
            } catch (IOException e) {
                if (System.nanoTime() >= deadlineNanos) {
                    throw e;
                }
                sleepBeforeRetry();
            }
        }
    }

    private static void sleepBeforeRetry() throws InterruptedIOException {
        try {
            Thread.sleep(RETRY_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException();
        }
    }
}
