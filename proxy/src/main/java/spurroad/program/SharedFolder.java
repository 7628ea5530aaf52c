package spurroad.program;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import spurroad.protocol.Members;
import spurroad.transport.EventLog;

/**
 * The folder that the processes of one proxy share: who lives, what each tells, and the cache nodes out of
 * use. Files are written whole and renamed. A process lives while it holds the lock on its file, which the
 * system gives back however it dies. One thread works it.
 */
final class SharedFolder {
    private static final String LOCK = ".lock";
    private static final String STATE = ".state";
    private static final String OUT = "out-";
    private static final String PART = ".part";
    private static final String OUT_FORM = "spurroad-out 1";
    private static final int TRIES = 100; // of a lock that a tidying neighbour may hold for a moment
    private static final long AGAIN_MS = 5; // ms; between them

    private final Path folder;
    private final long pid;
    private final EventLog log;
    private final FileChannel own;

    /** Takes its place in the folder, which is made where it is missing. */
    SharedFolder(Path folder, long pid, EventLog log) throws IOException, InterruptedException {
        this.folder = Files.createDirectories(folder);
        this.pid = pid;
        this.log = log;
        own = locked(folder.resolve(pid + LOCK));
    }

    private static FileChannel locked(Path file) throws IOException, InterruptedException {
        for (int i = 0; i < TRIES; i++) {
            FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            if (channel.tryLock() != null && Files.exists(file)) {
                return channel; // held until the process ends
            }
            channel.close();
            Thread.sleep(AGAIN_MS);
        }
        throw new IOException("no lock on " + file);
    }

    /** The others that live, by their numbers; null for one that has told nothing that can be believed. */
    Map<Long, ProcessState> others() throws IOException {
        Map<Long, ProcessState> others = new TreeMap<>();
        for (Path lock : named(LOCK)) {
            long other = number(lock);
            if (other >= 0 && other != pid) {
                if (lives(lock)) {
                    others.put(other, state(folder.resolve(other + STATE)));
                } else {
                    Files.deleteIfExists(folder.resolve(other + STATE));
                }
            }
        }
        return others;
    }

    private static long number(Path lock) {
        String name = lock.getFileName().toString();
        try {
            return Long.parseLong(name.substring(0, name.length() - LOCK.length()));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /**
     * Whether its lock is held; else it is cleared away. Never asked of its own: a close would give that
     * back.
     */
    private static boolean lives(Path lock) throws IOException {
        try (FileChannel channel = FileChannel.open(lock, StandardOpenOption.WRITE);
            FileLock free = channel.tryLock()) {
            if (free != null) {
                Files.deleteIfExists(lock);
            }
            return free == null;
        } catch (NoSuchFileException e) {
            return false;
        } catch (OverlappingFileLockException e) {
            return true; // held within this process: by a proxy beside this one
        }
    }

    private ProcessState state(Path file) throws IOException {
        String text = text(file);
        ProcessState state = text == null ? null : ProcessState.read(text);
        if (text != null && state == null) {
            log.trouble("a shared file is not believed", file);
        }
        return state;
    }

    /** Tells the others. */
    void tell(ProcessState state) throws IOException {
        write(pid + STATE, state.text());
    }

    /** The ids of cache nodes out of use, by their hashes. */
    Map<String, String> out() throws IOException {
        Map<String, String> out = new HashMap<>();
        for (Path file : named("")) {
            String name = file.getFileName().toString();
            if (name.startsWith(OUT) && !name.endsWith(PART)) {
                String hash = name.substring(OUT.length());
                String text = text(file);
                String[] lines = text == null ? null : text.split("\n", -1);
                if (lines != null && lines.length == 3 && lines[0].equals(OUT_FORM)
                    && hash(lines[1]).equals(hash)) {
                    out.put(hash, lines[1]);
                } else if (text != null) {
                    log.trouble("a shared file is not believed", file);
                }
            }
        }
        return out;
    }

    void out(String id, boolean out) throws IOException {
        if (out) {
            write(OUT + hash(id), OUT_FORM + "\n" + id + "\n");
        } else {
            Files.deleteIfExists(folder.resolve(OUT + hash(id)));
        }
    }

    static String hash(String id) {
        return Long.toHexString(Members.hash(id));
    }

    private List<Path> named(String end) throws IOException {
        List<Path> found = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            files.filter(f -> f.getFileName().toString().endsWith(end)).forEach(found::add);
        }
        return found;
    }

    /** Null where it is gone. */
    private static String text(Path file) throws IOException {
        try {
            return new String(Files.readAllBytes(file), StandardCharsets.UTF_8); // whatever it holds
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    private void write(String name, String text) throws IOException {
        Path part = folder.resolve(name + "." + pid + PART);
        Files.writeString(part, text);
        Files.move(part, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE,
            StandardCopyOption.REPLACE_EXISTING);
    }

    /** Gives its place up; else the end of the process does. */
    void close() throws IOException {
        own.close();
    }
}
