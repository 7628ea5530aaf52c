package spurroad.program.restart;

/** Sequences of hot restart steps, each covering one situation of the processes of one proxy. */
final class HotRestartScenarios {
    private static final String STATE_HEADER = "spurroad-process 1\n";
    private static final long FUTURE_MILLIS = 4_102_444_800_000L; // Unix time; later than any clock of a test

    private HotRestartScenarios() {}

    /** Returns the content of the state file of a process of another program. */
    static String state(long startedAtMillis, long servingSinceMillis, boolean shuttingDown, int descriptors,
                        String hashes) {
        return STATE_HEADER + "begun " + startedAtMillis + "\nserving " + servingSinceMillis + "\nending "
            + shuttingDown + "\nplaces "
            + descriptors + "\nout " + hashes + "\nend\n";
    }

    private static String drainFile(String id) {
        return "out-" + AdminDrainFormat.endpointHash(id);
    }

    private static String drainContent(String id) {
        return "spurroad-out 1\n" + id + "\n";
    }

    /** Operators' calls to a process without others and to its successor, also for an unknown endpoint. */
    static void alone(HotRestartEnvironment environment) throws Exception {
        environment.join(21);
        environment.startServing(21);
        environment.pollAfterInterval(21);
        environment.drain(21, "unknown");
        environment.poll(21);
        environment.drain(21, "s-1");
        environment.drain(21, "s-2");
        environment.poll(21, 21);
        environment.drain(21, "s-1");
        environment.undrain(21, "s-2");
        environment.undrain(21, "s-3");
        environment.poll(21, 21);
        environment.drain(21, "s-4");
        environment.undrain(21, "s-4");
        environment.drain(21, "s-4");
        environment.poll(21, 21, 21);
        environment.kill(21);
        environment.join(7);
        environment.startServing(7);
        environment.undrain(7, "s-1");
        environment.poll(7, 7);
        environment.pollAfterInterval(7);
    }

    /** An upgrade from the start of the successor to the end of the old process, with calls at both. */
    static void upgrade(HotRestartEnvironment environment) throws Exception {
        environment.join(30);
        environment.startServing(30);
        environment.setDescriptorsInUse(30, 20);
        environment.drain(30, "s-1");
        environment.poll(30, 30);
        environment.join(19);
        environment.poll(30, 30);
        environment.drain(30, "s-2");
        environment.poll(30, 30);
        environment.startServing(19);
        environment.poll(30, 19, 30, 19);
        environment.drain(19, "s-3");
        environment.poll(19, 19, 30, 30, 19, 19);
        environment.undrain(30, "s-1");
        environment.poll(30, 30, 19, 19, 30, 30);
        environment.pollAfterInterval(30);
        environment.pollAfterInterval(19);
        environment.beginShutdown(30);
        environment.poll(30, 30, 19, 19);
        environment.setDescriptorsInUse(30, 130);
        environment.poll(30, 30, 19, 19);
        environment.drain(19, "s-4");
        environment.poll(19, 19, 30, 19, 19);
        environment.kill(30);
        environment.poll(19, 19, 19);
        environment.pollAfterInterval(19);
    }

    /** A second upgrade begins before the first has ended, and the newest process dies. */
    static void fourBesideEachOther(HotRestartEnvironment environment) throws Exception {
        environment.join(40);
        environment.startServing(40);
        environment.join(41);
        environment.poll(40, 40);
        environment.startServing(41);
        environment.poll(40, 41, 40, 41);
        environment.beginShutdown(40);
        environment.poll(40, 41);
        environment.join(12);
        environment.startServing(12);
        environment.drain(41, "s-1");
        environment.poll(40, 41, 12, 40, 41, 12, 41);
        environment.join(13);
        environment.startServing(13);
        environment.setDescriptorsInUse(13, 60);
        environment.poll(40, 41, 12, 13, 40, 41, 12, 13);
        environment.beginShutdown(13);
        environment.poll(13, 12, 41, 40);
        environment.kill(13);
        environment.poll(12, 41, 40, 12, 41, 40);
        environment.kill(41);
        environment.poll(40, 12, 40, 12);
        environment.kill(40);
        environment.poll(12, 12);
    }

    /** The process delays its answers to drain changes; calls and files wait meanwhile. */
    static void delayedAnswers(HotRestartEnvironment environment) throws Exception {
        environment.join(50);
        environment.startServing(50);
        environment.join(51);
        environment.startServing(51);
        environment.poll(50, 51, 50);
        environment.setDelaysAnswers(51, true);
        environment.drain(50, "s-1");
        environment.poll(50, 50, 51, 51, 50, 50);
        environment.answerDelayed(51);
        environment.poll(51, 51, 50, 50);
        environment.drain(51, "s-2");
        environment.drain(51, "unknown");
        environment.poll(51, 51);
        environment.undrain(51, "s-2");
        environment.poll(51, 50);
        environment.answerDelayed(51);
        environment.poll(51, 51, 50, 50, 51);
        environment.answerDelayed(51);
        environment.poll(51, 51, 50, 50, 51);
    }

    /** Two processes get opposite calls for one endpoint before either reads the other's call. */
    static void oppositeCalls(HotRestartEnvironment environment) throws Exception {
        environment.join(60);
        environment.startServing(60);
        environment.join(61);
        environment.startServing(61);
        environment.poll(60, 61);
        environment.drain(60, "s-1");
        environment.undrain(61, "s-1");
        environment.poll(60, 61, 60, 61, 60, 61, 60);
        environment.drain(61, "s-1");
        environment.undrain(60, "s-1");
        environment.poll(61, 60, 61, 60, 61, 60, 61);
        environment.drain(60, "s-2");
        environment.poll(60);
        environment.undrain(60, "s-2");
        environment.poll(60, 61, 60, 61, 60);
    }

    /** Files that are truncated, of another format, misnamed, or left by dead processes. */
    static void malformedFiles(HotRestartEnvironment environment) throws Exception {
        environment.join(70);
        environment.startServing(70);
        environment.drain(70, "s-1");
        environment.drain(70, "s-2");
        environment.poll(70, 70);
        environment.write(drainFile("s-1"), "spurroad-out 1\ns-");
        environment.write(drainFile("s-3"), "spurroad-out 2\ns-3\n");
        environment.write(drainFile("s-5"), drainContent("s-4"));
        environment.write("out-77", drainContent("s-6"));
        environment.write(drainFile("unknown"), drainContent("unknown"));
        environment.poll(70, 70);
        environment.write(drainFile("s-3"), drainContent("s-3"));
        environment.write(drainFile("s-7") + ".99.part", drainContent("s-7"));
        environment.poll(70, 70);
        environment.delete(drainFile("s-3"));
        environment.delete(drainFile("s-1"));
        environment.poll(70, 70);
        environment.write("99.lock", "");
        environment.write("99.state", state(5, 6, false, 30, "ab"));
        environment.write("out-1.99.part", "spur");
        environment.write("x.lock", "");
        environment.write("98.state", "begun");
        environment.write("notes.txt", "of somebody else\n");
        environment.poll(70, 70);
        environment.undrain(70, "s-2");
        environment.poll(70, 70);
    }

    /**
     * Processes of another program share the directory, with truncated, complete or missing states and start
     * times in the past or future.
     */
    static void foreignProcesses(HotRestartEnvironment environment) throws Exception {
        environment.join(80);
        environment.startServing(80);
        environment.startForeign(90);
        environment.poll(80, 80);
        environment.write("90.state", STATE_HEADER + "begun 5\nserving 6\n");
        environment.poll(80);
        environment.write("90.state", state(FUTURE_MILLIS, 0, false, 100, ""));
        environment.poll(80, 80);
        environment.write("90.state", state(FUTURE_MILLIS, FUTURE_MILLIS, false, 100, ""));
        environment.drain(80, "s-1");
        environment.poll(80, 80);
        environment.write("90.state",
            state(FUTURE_MILLIS, FUTURE_MILLIS, false, 100, AdminDrainFormat.endpointHash("s-1")));
        environment.poll(80, 80);
        environment.beginShutdown(80);
        environment.poll(80, 80);
        environment.write("90.state",
            state(FUTURE_MILLIS, FUTURE_MILLIS, true, 100, AdminDrainFormat.endpointHash("s-1")));
        environment.poll(80, 80);
        environment.join(81);
        environment.startServing(81);
        environment.poll(80, 81);
        environment.startForeign(91);
        environment.write("91.state", state(5, 6, false, 150, "77 " + AdminDrainFormat.endpointHash("s-1")));
        environment.poll(80, 81, 80, 81);
        environment.stopForeign(90);
        environment.poll(81, 80);
        environment.stopForeign(91);
        environment.poll(80, 81);
    }

    /** Single files temporarily can't be written, read or deleted. */
    static void singleFilesFail(HotRestartEnvironment environment) throws Exception {
        environment.join(100);
        environment.startServing(100);
        environment.obstruct(drainFile("s-1") + ".100.part");
        environment.drain(100, "s-1");
        environment.drain(100, "s-2");
        environment.poll(100, 100);
        environment.clear(drainFile("s-1") + ".100.part");
        environment.poll(100, 100);
        environment.obstruct(drainFile("s-2"));
        environment.poll(100, 100);
        environment.undrain(100, "s-2");
        environment.poll(100, 100);
        environment.clear(drainFile("s-2"));
        environment.poll(100, 100);
        environment.obstruct("101.state.101.part");
        environment.join(101);
        environment.startServing(101);
        environment.poll(100, 101, 100);
        environment.drain(100, "s-3");
        environment.poll(100, 101, 100);
        environment.clear("101.state.101.part");
        environment.poll(101, 100, 101);
        environment.obstruct("102.lock");
        environment.join(102);
        environment.poll(100, 101);
        environment.clear("102.lock");
        environment.startServing(102);
        environment.poll(100, 101, 102, 100, 101, 102);
        environment.obstruct("100.state");
        environment.poll(101, 102);
        environment.clear("100.state");
        environment.drain(100, "s-4");
        environment.poll(100, 101, 102, 100);
    }

    /** The directory can't be created, or is temporarily missing. */
    static void directoryFails(HotRestartEnvironment environment) throws Exception {
        environment.obstructDirectory();
        environment.join(110);
        environment.clearDirectory();
        environment.startServing(110);
        environment.drain(110, "s-1");
        environment.poll(110, 110);
        environment.callWhileDirectoryIsMissing(110, "s-2", true);
        environment.poll(110, 110);
        environment.callWhileDirectoryIsMissing(110, "s-1", false);
        environment.poll(110, 110);
    }

    /** A process serves though it could not join the directory, and joins once it can. */
    static void servesWithoutDirectory(HotRestartEnvironment environment) throws Exception {
        environment.obstructDirectory();
        environment.join(120);
        environment.serveBeforeDirectoryIsUsable(120);
        environment.drain(120, "s-1");
        environment.poll(120, 120);
        environment.join(121);
        environment.startServing(121);
        environment.poll(120, 121, 120);
    }
}
