package spurroad.testbed.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;

/**
 * Controls the library that is preloaded into the processes of one proxy (shim.c). The library makes system
 * calls fail and steps the time of day, as a memory-mapped control file states. Thread-safe.
 */
final class Shim {
    /**
     * The numbers of the control file, in its order. All but the clock's offset are rates of failure in calls
     * per {@link #RATE_UNIT}.
     */
    enum Field {
        CLOCK_OFFSET_NS, ACCEPT, SOCKET, CONNECT, SHORT_IO, BROKEN_READ, DISK, WAIT
    }

    /** The rate at which every call fails. */
    static final int RATE_UNIT = 1_000;

    private static final String SOURCE = "shim.c";
    private static final String COMPILER = "gcc";
    private static final String LIBRARY = "shim.so";

    private final Path library;
    private final Path controlFile;
    private final LongBuffer control;

    /** Creates the control of one proxy, and its file. */
    Shim(Path library, Path controlFile) throws IOException {
        this.library = library;
        this.controlFile = controlFile;
        long bytes = (long) Field.values().length * Long.BYTES;
        try (FileChannel channel = FileChannel.open(controlFile, StandardOpenOption.CREATE,
            StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            control = channel.map(FileChannel.MapMode.READ_WRITE, 0, bytes).order(ByteOrder.nativeOrder())
                .asLongBuffer();
        }
    }

    /** Compiles the library into a folder, and returns its path. */
    static Path build(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve(SOURCE);
        try (InputStream in = Shim.class.getResourceAsStream(SOURCE)) {
            Files.copy(in, source);
        }
        Path library = folder.resolve(LIBRARY);
        Process compiler = new ProcessBuilder(COMPILER, "-O1", "-shared", "-fPIC", "-o", library.toString(),
            source.toString(), "-ldl").inheritIO().start();
        if (compiler.waitFor() != 0) {
            throw new IOException(COMPILER + " can't build the library of failing system calls");
        }
        return library;
    }

    /** Sets a number from now on, in all processes of the proxy. */
    void set(Field field, long value) {
        control.put(field.ordinal(), value);
    }

    /** Returns the environment variables that load the library into a process. */
    Map<String, String> environment(Path folder) {
        return Map.of("LD_PRELOAD", library.toString(), "SOAK_SHIM", controlFile.toString(), "SOAK_FOLDER",
            folder.toString());
    }
}
