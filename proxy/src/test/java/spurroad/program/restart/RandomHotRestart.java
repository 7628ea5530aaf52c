package spurroad.program.restart;

import java.util.List;
import java.util.Random;

/** Runs a long hot restart whose steps are chosen by a seeded random generator. */
final class RandomHotRestart {
    private static final int MAX_PROCESSES = 4;
    private static final int[] DESCRIPTORS_IN_USE = {0, 10, 40, 90, 160};
    private static final String[] IDS = {"s-1", "s-2", "s-3", "s-4", "unknown"};
    private static final long FOREIGN_PID = 5;

    private final HotRestartEnvironment environment;
    private final Random random;
    private long joinedCount;

    RandomHotRestart(HotRestartEnvironment environment, long seed) {
        this.environment = environment;
        random = new Random(seed);
    }

    void play(int steps) throws Exception {
        join();
        for (int i = 0; i < steps; i++) {
            step();
        }
        for (long pid : environment.pids()) {
            clearObstaclesOf(pid);
        }
    }

    private void step() throws Exception {
        long pid = anyPid();
        if (!environment.isServing(pid)) {
            environment.startServing(pid);
            return;
        }
        switch (random.nextInt(20)) {
            case 0, 1 -> join();
            case 2 -> kill(pid);
            case 3 -> environment.beginShutdown(pid);
            case 4, 5, 6 -> environment.drain(pid, anyId());
            case 7, 8 -> environment.undrain(pid, anyId());
            case 9 -> environment.setDescriptorsInUse(pid,
                DESCRIPTORS_IN_USE[random.nextInt(DESCRIPTORS_IN_USE.length)]);
            case 10 -> environment.setDelaysAnswers(pid, random.nextBoolean());
            case 11 -> environment.answerDelayed(pid);
            case 12 -> obstructOrClear(partFile(anyId(), pid));
            case 13 -> deleteOrTruncate(drainFile(anyId()));
            case 14 -> startOrStopForeign();
            default -> environment.poll(pid);
        }
    }

    private long anyPid() {
        List<Long> pids = environment.pids();
        return pids.get(random.nextInt(pids.size()));
    }

    private static String drainFile(String id) {
        return "out-" + AdminDrainFormat.endpointHash(id);
    }

    private String anyId() {
        return IDS[random.nextInt(IDS.length)];
    }

    /** Starts a process; pids increase and wrap around, so a later process may have a smaller pid. */
    private void join() throws Exception {
        if (environment.pids().size() < MAX_PROCESSES) {
            environment.join(1_000 + joinedCount++ * 37 % 101);
        }
    }

    private void kill(long pid) throws Exception {
        if (environment.pids().size() > 1) {
            clearObstaclesOf(pid);
            environment.kill(pid);
        }
    }

    /**
     * Removes the obstacles at the process's part files. Once the process is dead, other processes could not
     * delete these, and each of their polls would fail.
     */
    private void clearObstaclesOf(long pid) throws Exception {
        for (String id : IDS) {
            if (environment.exists(partFile(id, pid))) {
                environment.clear(partFile(id, pid));
            }
        }
    }

    private static String partFile(String id, long pid) {
        return drainFile(id) + "." + pid + ".part";
    }

    private void obstructOrClear(String name) throws Exception {
        if (environment.exists(name)) {
            environment.clear(name);
        } else {
            environment.obstruct(name);
        }
    }

    private void deleteOrTruncate(String drainFile) throws Exception {
        if (random.nextBoolean()) {
            environment.delete(drainFile);
        } else {
            environment.write(drainFile, "spurroad-out 1\ntorn");
        }
    }

    private void startOrStopForeign() throws Exception {
        if (environment.isForeignAlive(FOREIGN_PID)) {
            environment.stopForeign(FOREIGN_PID);
            return;
        }
        environment.startForeign(FOREIGN_PID);
        environment.write(FOREIGN_PID + ".state", HotRestartScenarios.state(1_000L + random.nextInt(9),
            random.nextInt(2), random.nextBoolean(),
            DESCRIPTORS_IN_USE[random.nextInt(DESCRIPTORS_IN_USE.length)],
            AdminDrainFormat.endpointHash("s-1")));
    }
}
