package spurroad.program.restart;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import spurroad.transport.EventLog;

/**
 * The directory that the processes of one proxy share; the package documentation lists its files. A file that
 * can't be read or is malformed is logged and ignored. Any call may fail temporarily, for example if the disk
 * is full, and can be retried.
 */
final class HotRestartDirectory implements AdminDrainStore.Files {
    /** The log event for a failed operation. */
    static final String UNAVAILABLE = "hot restart directory can't be accessed";

    private static final String UNREADABLE = "shared file can't be read";
    // EarlierBuildUpgradeTest checks that no real process logs this event
    private static final String MALFORMED = "malformed shared file ignored";
    private static final String LOCK_SUFFIX = ".lock";
    private static final String STATE_SUFFIX = ".state";
    private static final String DRAIN_PREFIX = "out-";
    // another process may briefly hold the lock to check whether this one lives
    private static final int LOCK_ATTEMPTS = 100;
    private static final long LOCK_RETRY_MILLIS = 5;

    private final Path directory;
    private final AtomicFiles files;
    private final long pid;
    private final EventLog log;
    private FileChannel ownLock; // null until the lock is held

    /** Accesses no file yet; the directory may be missing. */
    HotRestartDirectory(Path directory, long pid, EventLog log) {
        this.directory = directory;
        this.pid = pid;
        this.log = log;
        files = new AtomicFiles(directory);
    }

    // ---- locks

    /** Creates the directory and locks this process's file; does nothing once that has succeeded. */
    void join() throws IOException, InterruptedException {
        if (ownLock == null) {
            Files.createDirectories(directory);
            ownLock = lock(directory.resolve(pid + LOCK_SUFFIX));
        }
    }

    private static FileChannel lock(Path file) throws IOException, InterruptedException {
        for (int attempt = 0; attempt < LOCK_ATTEMPTS; attempt++) {
            FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            if (channel.tryLock() != null && Files.exists(file)) {
                return channel; // held until the process exits
            }
            channel.close();
            Thread.sleep(LOCK_RETRY_MILLIS);
        }
        throw new IOException("no lock on " + file);
    }

    /** Releases the lock of this process, which otherwise lasts until the process exits. */
    void close() throws IOException {
        if (ownLock != null) {
            ownLock.close();
        }
    }

    /**
     * Returns whether the lock on another process's file is held; if not, deletes the file. Must not be
     * called for this process's own file, as closing a second channel to it would release the lock.
     */
    private boolean isLocked(Path lockFile) {
        try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.WRITE);
            FileLock acquiredLock = channel.tryLock()) {
            if (acquiredLock != null) {
                Files.deleteIfExists(lockFile);
            }
            return acquiredLock == null;
        } catch (NoSuchFileException e) {
            return false;
        } catch (OverlappingFileLockException e) {
            return true; // held by another proxy in the same virtual machine, as in tests
        } catch (IOException e) {
            log.warn("process lock can't be checked, assuming process alive",
                "file=" + lockFile + " error=" + e);
            return true;
        }
    }

    // ---- processes

    /**
     * Returns the other live processes by ascending pid, and deletes the files of processes that have died.
     */
    List<LiveProcess> readOtherProcesses() throws IOException {
        Map<Long, LiveProcess> live = new TreeMap<>();
        for (Path lockFile : files.list(LOCK_SUFFIX)) {
            OptionalLong otherPid = pidOf(lockFile);
            if (otherPid.isEmpty() || otherPid.getAsLong() == pid) {
                continue;
            }
            if (isLocked(lockFile)) {
                live.put(otherPid.getAsLong(),
                    new LiveProcess(otherPid.getAsLong(), readState(otherPid.getAsLong())));
            } else {
                deleteFilesOfDeadProcess(otherPid.getAsLong());
            }
        }
        return List.copyOf(live.values());
    }

    private void deleteFilesOfDeadProcess(long otherPid) throws IOException {
        files.delete(otherPid + STATE_SUFFIX);
        files.deleteParts(otherPid);
    }

    /** Returns the pid in the name of a lock file; empty if the file is not one of a proxy process. */
    private static OptionalLong pidOf(Path lockFile) {
        String name = lockFile.getFileName().toString();
        try {
            long pid = Long.parseLong(name.substring(0, name.length() - LOCK_SUFFIX.length()));
            return pid < 0 ? OptionalLong.empty() : OptionalLong.of(pid);
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    private Optional<ProcessState> readState(long otherPid) {
        Path file = directory.resolve(otherPid + STATE_SUFFIX);
        try {
            Optional<String> text = AtomicFiles.read(file);
            Optional<ProcessState> state = text.flatMap(ProcessStateFormat::decode);
            if (text.isPresent() && state.isEmpty()) {
                log.warn(MALFORMED, "file=" + file);
            }
            return state;
        } catch (IOException e) {
            log.warn(UNREADABLE, "file=" + file + " error=" + e);
            return Optional.empty();
        }
    }

    /** Publishes the state of this process. */
    void writeState(ProcessState state) throws IOException {
        files.write(pid + STATE_SUFFIX, pid, ProcessStateFormat.encode(state));
    }

    // ---- drained endpoints

    @Override
    public PersistedDrains readDrains() throws IOException {
        PersistedDrains drains = new PersistedDrains(new HashMap<>(), new HashSet<>());
        for (Path file : files.list("")) {
            String name = file.getFileName().toString();
            if (name.startsWith(DRAIN_PREFIX) && !AtomicFiles.isPart(name)) {
                readDrain(file, name.substring(DRAIN_PREFIX.length()), drains);
            }
        }
        return drains;
    }

    private void readDrain(Path file, String endpointHash, PersistedDrains into) {
        try {
            Optional<String> text = AtomicFiles.read(file);
            if (text.isEmpty()) {
                return; // the endpoint was returned to use after the directory was listed
            }
            Optional<String> endpointId = AdminDrainFormat.decode(text.get(), endpointHash);
            if (endpointId.isPresent()) {
                into.endpointIdsByHash().put(endpointHash, endpointId.get());
                return;
            }
            log.warn(MALFORMED, "file=" + file);
        } catch (IOException e) {
            log.warn(UNREADABLE, "file=" + file + " error=" + e);
        }
        into.unreadableHashes().add(endpointHash);
    }

    @Override
    public void writeDrain(String endpointId, boolean drained) throws IOException {
        String name = DRAIN_PREFIX + AdminDrainFormat.endpointHash(endpointId);
        if (drained) {
            files.write(name, pid, AdminDrainFormat.encode(endpointId));
        } else {
            files.delete(name);
        }
    }
}
