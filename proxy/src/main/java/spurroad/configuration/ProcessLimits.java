package spurroad.configuration;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The limits of the process that reduce the number of descriptors granted by the configuration.
 *
 * @param inheritedDescriptors descriptors that were open at startup, apart from those that every process has
 * @param maxOpenFiles the maximum number of descriptors that the system allows the process
 */
record ProcessLimits(int inheritedDescriptors, int maxOpenFiles) {
    /** No limits other than those of the configuration. */
    static final ProcessLimits NONE = new ProcessLimits(0, Integer.MAX_VALUE);

    private static final File OPEN_DESCRIPTORS = new File("/proc/self/fd");
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String OPEN_FILES_ROW = "Max open files";
    // the virtual machine raises its soft limit to the hard limit
    private static final int HARD_LIMIT_COLUMN = 1;
    // descriptors that the virtual machine opens itself, and the one that lists the directory
    private static final int VIRTUAL_MACHINE_DESCRIPTORS = 14;

    /** Returns the limits of this process from Linux's proc file system; on other systems there are none. */
    static ProcessLimits ofThisProcess() {
        String[] open = OPEN_DESCRIPTORS.list();
        int inherited = open == null ? 0 : Math.max(0, open.length - VIRTUAL_MACHINE_DESCRIPTORS);
        return new ProcessLimits(inherited, readMaxOpenFiles());
    }

    private static int readMaxOpenFiles() {
        try {
            return Files.readAllLines(LIMITS).stream().filter(line -> line.startsWith(OPEN_FILES_ROW))
                .map(line -> line.substring(OPEN_FILES_ROW.length()).strip().split(" +")[HARD_LIMIT_COLUMN])
                .filter(value -> value.matches("\\d{1,9}")).mapToInt(Integer::parseInt).findFirst()
                .orElse(Integer.MAX_VALUE);
        } catch (IOException e) {
            return Integer.MAX_VALUE;
        }
    }
}
