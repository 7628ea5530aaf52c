package spurroad.overload;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Resources that a process has used since its start, from {@code /proc}.
 *
 * @param cpuSeconds processor time of all its threads
 * @param contextSwitches voluntary and involuntary switches of its living threads
 * @param threads number of its threads
 */
record ProcessUsage(double cpuSeconds, long contextSwitches, int threads) {
    private static final double TICKS_PER_SECOND = 100;
    // indexes of the fields after the command's name
    private static final int USER_TICKS = 11;
    private static final int SYSTEM_TICKS = 12;

    static ProcessUsage of(long pid) throws IOException {
        File[] tasks = new File("/proc/" + pid + "/task").listFiles();
        long contextSwitches = 0;
        for (File task : tasks) {
            contextSwitches += contextSwitches(task);
        }
        return new ProcessUsage(cpuSeconds(pid), contextSwitches, tasks.length);
    }

    private static double cpuSeconds(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS]);
        return ticks / TICKS_PER_SECOND;
    }

    private static long contextSwitches(File task) {
        try {
            return Files.readAllLines(task.toPath().resolve("status")).stream()
                .filter(line -> line.contains("ctxt_switches:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .sum();
        } catch (IOException e) {
            return 0; // the thread has just ended
        }
    }
}
