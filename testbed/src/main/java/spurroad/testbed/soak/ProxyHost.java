package spurroad.testbed.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The platform for one proxy: it starts, restarts, replaces, reloads, pauses and kills the proxy's processes,
 * and exempts in the checker what it causes. The operations are called on one thread, the proxy's operator;
 * {@link #port}, {@link #checkProcess}, {@link #checkRuleMonitor} and {@link #destroy} on any.
 */
final class ProxyHost {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final int ADMIN_ATTEMPTS = 20;
    private static final long ADMIN_RETRY_INTERVAL_MS = 200;
    /** For so long a malformed configuration stays in place. */
    private static final long MALFORMED_FILE_MS = 300;
    /** Details of an upgrade below this: the successor is killed before it is ready. */
    private static final double SUCCESSOR_KILLED_BELOW = 0.15;
    /** The successor is killed after the detail of the fault times this. */
    private static final long SUCCESSOR_LIFETIME_MS = 4_000;
    /** Details of an upgrade below this: the successor is reloaded as soon as it is ready. */
    private static final double SUCCESSOR_RELOADED_BELOW = 0.3;
    private static final String RULE_VIOLATIONS_COUNTER = "proxy.rule_violations:";
    private static final String NO_RULE_VIOLATIONS = RULE_VIOLATIONS_COUNTER + "0|c";

    /**
     * What all proxies of a run share.
     *
     * @param root the root of the repository, in which proxies are started
     * @param command the shell command that starts a proxy
     * @param folder the folder for configurations and logs
     * @param shimLibrary the library that makes system calls fail
     * @param checker where violations are reported
     * @param settings the settings of the run
     */
    record Context(Path root, String command, Path folder, Path shimLibrary, InvariantChecker checker,
                   SoakSettings settings) {}

    final int number;
    final Shim shim;
    private final boolean inheritsSocket;
    private final Context context;
    private final InvariantChecker checker;
    private final FakeDiscovery discovery;
    private final FleetList fleetList;
    private final FleetList.PortMapping serverPorts;
    private final Path folder;
    private final ProcessLauncher launcher;
    private final ResourceLimits resourceLimits;
    private int startCount;
    private int discoveryAddress;
    private volatile RunningProxy current;
    private volatile RunningProxy successor;
    /** The process whose end is the soak's doing. */
    private volatile RunningProxy terminated;

    /**
     * Creates the host of a proxy without a process.
     *
     * @param inheritsSocket whether processes inherit their listening socket, so that a hot restart is
     *     possible
     */
    ProxyHost(int number, boolean inheritsSocket, Context context, FakeDiscovery discovery,
              FleetList fleetList, FleetList.PortMapping serverPorts)
        throws IOException {
        this.number = number;
        this.inheritsSocket = inheritsSocket;
        this.context = context;
        this.discovery = discovery;
        this.fleetList = fleetList;
        this.serverPorts = serverPorts;
        checker = context.checker;
        folder = Files.createDirectories(context.folder.resolve(toString()));
        shim = new Shim(context.shimLibrary, folder.resolve("shim"));
        launcher = new ProcessLauncher(inheritsSocket);
        resourceLimits = new ResourceLimits(toString(), context.settings, checker);
    }

    /** Returns the port at which clients connect. */
    int port() {
        return launcher.port();
    }

    // ---- starts

    /** Starts a process, and waits until it is ready. */
    void start(StartCondition condition) throws IOException, InterruptedException {
        if (!inheritsSocket) {
            checker.onAdminDrainsForgotten(number); // only a hot restart keeps administrative drains
        }
        current = launch(condition);
        awaitReady(current);
    }

    private RunningProxy launch(StartCondition condition) throws IOException {
        int process = ++startCount;
        int adminPort = Sockets.freePort();
        Path file = Files.writeString(folder.resolve("c-" + process + ".json"), configuration());
        String command = shellCommand(condition, environment(condition, file, adminPort), "log-" + process);
        long pid = launcher.launch(command, condition == StartCondition.SIGNALS_IGNORED);
        return new RunningProxy(pid, new AdminClient(adminPort), file);
    }

    private Map<String, String> environment(StartCondition condition, Path configurationFile,
                                            int adminPort) {
        Map<String, String> environment = new LinkedHashMap<>(shim.environment(folder));
        environment.put("BALANCER_CONFIG", configurationFile.toString());
        environment.put("BALANCER_ADMIN_ADDR", "127.0.0.1:" + adminPort);
        environment.put("TMPDIR", folder.toString());
        if (inheritsSocket) {
            environment.put("BALANCER_LISTEN_FD", "0");
        }
        environment.putAll(condition.environment());
        return environment;
    }

    private String shellCommand(StartCondition condition, Map<String, String> environment, String logName) {
        StringBuilder command = new StringBuilder("cd '" + context.root + "'; ");
        command.append(condition.shellPrefix());
        environment.forEach(
            (name, value) -> command.append("export ").append(name).append("='").append(value).append("'; "));
        return command.append(context.command).append(" >> '").append(folder.resolve(logName))
            .append("' 2>&1").toString();
    }

    private String configuration() {
        return context.settings.configuration(number, port(), discovery.port(discoveryAddress),
            fleetList.json(0, serverPorts));
    }

    private void awaitReady(RunningProxy process) throws InterruptedException {
        if (!process.awaitReady(READY_TIMEOUT_MS)) {
            String state = process.isAlive() ? "still starting" : "it exited";
            checker.addViolation(Invariant.ALIVE, this + " was not ready: " + state);
        }
    }

    // ---- ends

    /** Shuts the process down as the platform does for a planned restart, and starts the next. */
    void restart(StartCondition condition) throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        terminate(current);
        start(condition);
        exemptConnectionsAfterEnd(startNanos);
    }

    /** Sends SIGTERM, and SIGKILL once the time for a graceful shutdown has elapsed. */
    private void terminate(RunningProxy process) throws InterruptedException {
        terminated = process;
        process.signal("TERM");
        if (context.settings.planted() == PlantedFault.HANGING_END) {
            process.signal("STOP");
        }
        awaitEndOrKill(process);
    }

    /** Kills a process that was just told to end at the earliest time at which the platform may do so. */
    private void awaitEndOrKill(RunningProxy process) throws InterruptedException {
        if (!process.awaitEnd(SoakSettings.KILL_AFTER_MS)) {
            checker.onKilledAtEnd();
            killNow(process); // not exempt: a request without an answer by now is lost
        }
    }

    private void killNow(RunningProxy process) throws InterruptedException {
        terminated = process;
        process.destroy();
        process.awaitEnd(READY_TIMEOUT_MS);
    }

    /** Kills the process, and starts the next. */
    void kill(StartCondition condition) throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        killNow(current);
        start(condition);
        checker.exemptKill(number, startNanos, System.nanoTime());
    }

    /**
     * Does a hot restart: starts a successor, and shuts the process down once the successor is ready; without
     * an inherited socket, does a plain restart.
     *
     * @param detail chooses whether the successor is killed, or reloaded, early
     */
    void upgrade(StartCondition condition, double detail) throws IOException, InterruptedException {
        if (!inheritsSocket) {
            restart(condition);
            return;
        }
        RunningProxy predecessor = current;
        successor = launch(condition);
        if (detail < SUCCESSOR_KILLED_BELOW) {
            killSuccessor((long) (detail * SUCCESSOR_LIFETIME_MS));
            return;
        }
        awaitReady(successor);
        current = successor;
        successor = null;
        if (detail < SUCCESSOR_RELOADED_BELOW) {
            reload();
        }
        terminate(predecessor);
    }

    private void killSuccessor(long afterMs) throws InterruptedException {
        Thread.sleep(afterMs);
        long startNanos = System.nanoTime();
        killNow(successor);
        successor = null;
        checker.exemptKill(number, startNanos, System.nanoTime());
    }

    // ---- signals and admin calls

    /**
     * Ends the process with other signals around SIGTERM, and starts the next.
     *
     * @param around sends the signals, SIGTERM among them
     */
    void restartWithSignals(StartCondition condition, SignalSeries.Sender around)
        throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        RunningProxy process = current;
        terminated = process;
        around.sendTo(process);
        awaitEndOrKill(process);
        start(condition);
        exemptConnectionsAfterEnd(startNanos);
    }

    /** Ends the process, tells the next to end while it starts, and starts one more. */
    void restartWithEndWhileStarting(StartCondition condition, long afterMs)
        throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        terminate(current);
        RunningProxy starting = launch(condition);
        terminated = starting;
        current = starting;
        Thread.sleep(afterMs);
        starting.signal("TERM");
        awaitEndOrKill(starting);
        start(condition);
        exemptConnectionsAfterEnd(startNanos);
    }

    /** Tells the process to end while its successor starts; without an inherited socket, restarts it. */
    void endWhileSuccessorStarts(StartCondition condition, long afterMs)
        throws IOException, InterruptedException {
        if (!inheritsSocket) {
            restart(condition);
            return;
        }
        RunningProxy predecessor = current;
        RunningProxy starting = launch(condition);
        Thread.sleep(afterMs);
        long startNanos = System.nanoTime();
        terminate(predecessor);
        current = starting;
        awaitReady(starting);
        exemptConnectionsAfterEnd(startNanos);
    }

    /** Connections of before the end are owed an answer; those of later nothing until the next serves. */
    private void exemptConnectionsAfterEnd(long endStartNanos) {
        long stillAcceptingNanos = SoakSettings.STILL_ACCEPTING_MS * NANOS_PER_MILLI;
        checker.exemptNewConnections(number, endStartNanos + stillAcceptingNanos, System.nanoTime());
    }

    /** Writes a configuration with the other address of discovery, and tells the process to reload. */
    void reload() throws IOException {
        discoveryAddress++;
        Files.writeString(current.configurationFile(), configuration());
        current.signal("HUP");
    }

    /** Tells the process to reload while its file is truncated, and restores the file. */
    void reloadMalformed(double detail) throws IOException, InterruptedException {
        String complete = configuration();
        String truncated = complete.substring(0, (int) (detail * complete.length()));
        Files.writeString(current.configurationFile(), truncated);
        current.signal("HUP");
        Thread.sleep(MALFORMED_FILE_MS);
        Files.writeString(current.configurationFile(), complete);
    }

    /** Pauses the process again and again, half of the time. */
    void pauseRepeatedly(long durationMs) throws InterruptedException {
        RunningProxy process = current;
        long deadline = System.nanoTime() + durationMs * NANOS_PER_MILLI;
        while (System.nanoTime() < deadline) {
            long startNanos = System.nanoTime();
            process.signal("STOP");
            Thread.sleep(SoakSettings.PAUSE_MS);
            process.signal("CONT");
            checker.exemptPause(number, startNanos, System.nanoTime());
            Thread.sleep(SoakSettings.PAUSE_MS);
        }
    }

    /** Administratively drains a cache node; the drain counts once the proxy has confirmed it. */
    void drainNode(String node) throws InterruptedException {
        for (int i = 0; i < ADMIN_ATTEMPTS; i++) {
            if (current.admin().drain(node)) {
                checker.onAdminDrainConfirmed(number, node);
                return;
            }
            Thread.sleep(ADMIN_RETRY_INTERVAL_MS);
        }
    }

    /** Ends the administrative drain of a cache node. */
    void undrainNode(String node) throws InterruptedException {
        checker.onAdminDrainEnding(number, node);
        for (int i = 0; i < ADMIN_ATTEMPTS && !current.admin().undrain(node); i++) {
            Thread.sleep(ADMIN_RETRY_INTERVAL_MS);
        }
    }

    // ---- checks

    /** Checks that the proxy's own rule monitor has counted nothing. */
    void checkRuleMonitor() {
        RunningProxy process = current;
        String stats = process == null ? "" : process.admin().stats();
        String counter = stats.lines().filter(line -> line.startsWith(RULE_VIOLATIONS_COUNTER)).findFirst()
            .orElse("");
        if (!counter.isEmpty() && !counter.equals(NO_RULE_VIOLATIONS)) {
            checker.addViolation(Invariant.OWN_CHECKS, this + " reports " + counter);
        }
    }

    /** Returns whether the process that was started last is alive. */
    boolean isRunning() {
        RunningProxy process = current;
        return process != null && process.isAlive();
    }

    /** Checks that the process is alive and within its limits; to be called several times a second. */
    void checkProcess() {
        RunningProxy process = current;
        if (process == null || process == terminated) {
            return;
        }
        if (process.isAlive()) {
            resourceLimits.check(process.pid());
            resourceLimits.checkTogether(otherPids(process), process.pid());
        } else if (process != terminated) { // another thread may have terminated the process meanwhile
            checker.addViolation(Invariant.ALIVE, this + " exited by itself");
        }
    }

    /** Returns the ids of the successor that starts, or of the predecessor that ends. */
    private List<Long> otherPids(RunningProxy process) {
        return Stream.of(Optional.ofNullable(successor), Optional.ofNullable(terminated))
            .flatMap(Optional::stream)
            .filter(other -> other != process && other.isAlive()).map(RunningProxy::pid).distinct().toList();
    }

    /** Kills all processes without exemption; for a planted crash, and at the end of the run. */
    void destroy() {
        for (RunningProxy process : new RunningProxy[] {current, successor}) {
            if (process != null) {
                process.destroy();
            }
        }
    }

    void close() {
        terminated = current;
        destroy();
        launcher.close();
    }

    @Override
    public String toString() {
        return "p-" + number;
    }
}
