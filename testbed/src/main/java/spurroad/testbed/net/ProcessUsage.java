package spurroad.testbed.net;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Resource usage of a process from Linux' /proc. Thread-safe. */
public final class ProcessUsage {
    /** Returned for a process that has ended; below every limit. */
    public static final int UNKNOWN = -1;

    /** Linux' USER_HZ, which is the same on all architectures that Java 17 runs on. */
    private static final double TICKS_PER_SECOND = 100;
    /** Indices into the fields of /proc/PID/stat behind the command's name. */
    private static final int USER_TIME_FIELD = 11;
    private static final int SYSTEM_TIME_FIELD = 12;
    /** Index into the fields of /proc/PID/statm. */
    private static final int RESIDENT_PAGES_FIELD = 1;
    private static final int PAGE_KIB = 4;
    private static final double KIB_PER_MIB = 1024.0;

    private ProcessUsage() {}

    /** Returns the processor time that a process has used, in seconds, with a resolution of 10 ms. */
    static double cpuSeconds(long pid) {
        try {
            String line = Files.readString(procFile(pid, "stat"));
            String[] fields = line.substring(line.lastIndexOf(')') + 2).split(" ");
            long ticks = Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
            return ticks / TICKS_PER_SECOND;
        } catch (IOException e) {
            return UNKNOWN;
        }
    }

    /** Returns the resident memory of a process, in MiB. */
    public static double memoryMb(long pid) {
        try {
            String[] fields = Files.readString(procFile(pid, "statm")).split(" ");
            return Long.parseLong(fields[RESIDENT_PAGES_FIELD]) * PAGE_KIB / KIB_PER_MIB;
        } catch (IOException e) {
            return UNKNOWN;
        }
    }

    /** Returns the number of open file descriptors of a process. */
    public static int descriptors(long pid) {
        String[] open = new File("/proc/" + pid + "/fd").list();
        return open == null ? UNKNOWN : open.length;
    }

    private static Path procFile(long pid, String name) {
        return Path.of("/proc", Long.toString(pid), name);
    }
}
