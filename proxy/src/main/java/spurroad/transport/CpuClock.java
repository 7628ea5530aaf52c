package spurroad.transport;

import java.io.File;
import java.io.FileInputStream;
import java.io.IOException;

/**
 * Reads the CPU time of this process's threads from Linux's {@code /proc}, with nanosecond resolution. The
 * CPU time of the process as a whole advances in steps of 10 ms, a fifth of the 50 ms that half a core
 * provides within 100 ms. Other systems don't have these files. Not thread-safe.
 */
public final class CpuClock {
    private static final File THREADS_DIRECTORY = new File("/proc/self/task");
    private static final int LINE_BYTES = 64; // three numbers, of which the first is the CPU time

    private final byte[] line = new byte[LINE_BYTES];

    /** Returns the CPU time used by all live threads, in nanoseconds, or -1 if it is unknown. */
    public long usedNanos() {
        String[] threadIds = THREADS_DIRECTORY.list();
        long totalNanos = threadIds == null ? -1 : 0;
        for (int i = 0; totalNanos >= 0 && i < threadIds.length; i++) {
            String file = THREADS_DIRECTORY + "/" + threadIds[i] + "/schedstat";
            try (FileInputStream in = new FileInputStream(file)) {
                totalNanos += parseLeadingNumber(line, in.read(line));
            } catch (IOException e) {
                continue; // the thread has ended
            }
        }
        return totalNanos == 0 ? -1 : totalNanos;
    }

    /** Returns the number at the beginning of a line, or zero if there is none. */
    static long parseLeadingNumber(byte[] line, int length) {
        long number = 0;
        for (int i = 0; i < length && line[i] >= '0' && line[i] <= '9'; i++) {
            number = 10 * number + line[i] - '0';
        }
        return number;
    }
}
