package spurroad.program.restart;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A shared directory, the processes that use it, and the trace of all steps taken with them. The digests in
 * {@link HotRestartTraceTest} depend on the text of the steps.
 */
final class HotRestartEnvironment implements AutoCloseable {
    private static final long CLOCK_POLL_MILLIS = 1;
    // A process that can't read the directory polls it at least twice within this time. A test can't wait for
    // such a poll instead, as it changes no file and calls no method of the process.
    private static final long DIRECTORY_MISSING_MILLIS = 120;

    private final RestartTrace trace = new RestartTrace();
    private final Path directory;
    private final Map<Long, SteppedProcess> processes = new TreeMap<>();
    private final Map<Long, FileChannel> foreignLocks = new TreeMap<>();
    private int calls;

    HotRestartEnvironment() throws IOException {
        directory = Files.createTempDirectory("hot-restart").resolve("spurroad-n1");
    }

    /** A step whose description is traced before it is taken. */
    private interface Step {
        void run() throws Exception;
    }

    private void step(String what, Step step) throws Exception {
        trace.step(what);
        step.run();
        processes.forEach((pid, process) -> {
            process.takeEvents().forEach(event -> trace.line(pid + " " + event));
            trace.line(pid + " answers " + process.answers());
        });
        trace.directory(directory);
    }

    RestartTrace trace() {
        return trace;
    }

    /**
     * Waits until the clock has advanced, so that the next start or serving time is later than all others.
     */
    private static void awaitLaterTimeOfDay() throws InterruptedException {
        long beforeMillis = System.currentTimeMillis();
        while (System.currentTimeMillis() <= beforeMillis) {
            Thread.sleep(CLOCK_POLL_MILLIS);
        }
    }

    /** Returns the pids of the live processes in ascending order. */
    List<Long> pids() {
        return List.copyOf(processes.keySet());
    }

    boolean isServing(long pid) {
        return processes.get(pid).isServing();
    }

    // ---- processes

    void join(long pid) throws Exception {
        awaitLaterTimeOfDay();
        step("join " + pid, () -> processes.put(pid, new SteppedProcess(directory, pid)));
    }

    void startServing(long pid) throws Exception {
        awaitLaterTimeOfDay();
        step("serve " + pid, () -> processes.get(pid).startServing());
    }

    void poll(long... pids) throws Exception {
        for (long pid : pids) {
            step("look " + pid, () -> processes.get(pid).poll());
        }
    }

    void pollAfterInterval(long pid) throws Exception {
        step("look after a pause " + pid, () -> processes.get(pid).pollAfterInterval());
    }

    void drain(long pid, String id) throws Exception {
        call(pid, id, true);
    }

    void undrain(long pid, String id) throws Exception {
        call(pid, id, false);
    }

    private void call(long pid, String id, boolean drained) throws Exception {
        String name = "call " + ++calls;
        step(name + " at " + pid + ": " + id + (drained ? " drained" : " used again"),
            () -> processes.get(pid).call(name, id, drained));
    }

    void beginShutdown(long pid) throws Exception {
        step("begin shutdown " + pid, () -> processes.get(pid).beginShutdown());
    }

    void kill(long pid) throws Exception {
        step("die " + pid, () -> processes.get(pid).kill());
        processes.remove(pid);
    }

    void setDescriptorsInUse(long pid, int descriptors) throws Exception {
        step(pid + " holds " + descriptors, () -> processes.get(pid).setDescriptorsInUse(descriptors));
    }

    void setDelaysAnswers(long pid, boolean on) throws Exception {
        step(pid + " delays answers " + on, () -> processes.get(pid).setDelaysAnswers(on));
    }

    void answerDelayed(long pid) throws Exception {
        step(pid + " answers what it delayed", () -> processes.get(pid).answerDelayed());
    }

    // ---- processes of another program, files and faults

    /** Simulates a process of another program by holding its lock. */
    void startForeign(long pid) throws Exception {
        step("foreign " + pid + " lives", () -> {
            FileChannel lock = FileChannel.open(directory.resolve(pid + ".lock"), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
            lock.lock();
            foreignLocks.put(pid, lock);
        });
    }

    void stopForeign(long pid) throws Exception {
        step("foreign " + pid + " dies", () -> foreignLocks.remove(pid).close());
    }

    boolean isForeignAlive(long pid) {
        return foreignLocks.containsKey(pid);
    }

    void write(String name, String content) throws Exception {
        step("write " + name, () -> Files.writeString(directory.resolve(name), content));
    }

    void delete(String name) throws Exception {
        step("delete " + name, () -> Files.deleteIfExists(directory.resolve(name)));
    }

    boolean exists(String name) {
        return Files.exists(directory.resolve(name));
    }

    /** Replaces a file by a directory, so that writing, reading or deleting it fails. */
    void obstruct(String name) throws Exception {
        step("obstruct " + name, () -> {
            Files.deleteIfExists(directory.resolve(name));
            Files.createDirectories(directory.resolve(name).resolve("in the way"));
        });
    }

    void clear(String name) throws Exception {
        step("clear " + name, () -> {
            Files.delete(directory.resolve(name).resolve("in the way"));
            Files.delete(directory.resolve(name));
        });
    }

    /** Creates a file with the name of the directory. */
    void obstructDirectory() throws Exception {
        step("obstruct the directory", () -> Files.createFile(directory));
    }

    void clearDirectory() throws Exception {
        step("clear the directory", () -> Files.delete(directory));
    }

    /**
     * Makes an operator's call, and moves the directory away and back while the process applies it.
     */
    void callWhileDirectoryIsMissing(long pid, String id, boolean drained) throws Exception {
        call(pid, id, drained);
        Path movedDirectory = directory.resolveSibling("away");
        step("the directory goes and comes back", () -> {
            Files.move(directory, movedDirectory);
            processes.get(pid).continueUntilDrainChange();
            Thread.sleep(DIRECTORY_MISSING_MILLIS);
            Files.move(movedDirectory, directory);
            processes.get(pid).awaitStop();
        });
    }

    /** Starts serving while the directory can't be read, then makes the directory usable. */
    void serveBeforeDirectoryIsUsable(long pid) throws Exception {
        awaitLaterTimeOfDay();
        step("serve " + pid + " before the directory is mended", () -> {
            processes.get(pid).beginServing();
            Files.delete(directory);
            processes.get(pid).awaitStop();
        });
    }

    @Override
    public void close() throws Exception {
        for (SteppedProcess process : processes.values()) {
            if (process.isServing()) {
                process.kill();
            }
        }
        for (FileChannel lock : foreignLocks.values()) {
            lock.close();
        }
    }
}
