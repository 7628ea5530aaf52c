package spurroad.testbed.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One run of the soak: starts real proxies, lets clients send requests while the faults of a schedule are
 * injected, and checks the invariants. Used by one thread; only one run at a time is possible in a process.
 */
public final class SoakRun implements AutoCloseable {
    private static final int CLIENTS_PER_PROXY = 6;
    private static final int KEEP_ALIVE_CLIENTS_PER_PROXY = 2; // of these
    private static final long PROCESS_CHECK_INTERVAL_MS = 250;
    private static final long PLANTED_CRASH_AT_MS = 4_000;
    private static final long START_TIMEOUT_SECONDS = 60;
    /** Newly started virtual machines use all cores for a while. */
    private static final long SETTLING_MS = 1_500;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int TIMELINE_THREADS = 8;

    private final SoakSettings settings;
    private final FaultSchedule schedule;
    private final Consumer<String> progress;
    private final SoakEnvironment environment;
    private final InvariantChecker checker;
    private final OperatorThreads operators;
    private final FaultInjector faultInjector;
    private final ScheduledExecutorService timeline = Executors.newScheduledThreadPool(TIMELINE_THREADS,
        work -> {
            Thread thread = new Thread(work, "timeline");
            thread.setDaemon(true);
            return thread;
        });

    /**
     * Prepares a run whose faults are drawn from its seed: opens the fake servers, but starts no process.
     *
     * @param root the root of the repository, where the proxy is built
     * @param folder the folder for logs and configurations
     * @param progress receives a line about each step
     */
    public SoakRun(SoakSettings settings, Path root, Path folder, Consumer<String> progress)
        throws IOException, InterruptedException {
        this(settings, FaultSchedule.of(settings.seed(), settings.seconds() * 1_000L, settings.proxies(),
            settings.nodes()), root, folder, progress);
    }

    /** Prepares a run with a given schedule of faults. */
    SoakRun(SoakSettings settings, FaultSchedule schedule, Path root, Path folder, Consumer<String> progress)
        throws IOException, InterruptedException {
        this.settings = settings;
        this.schedule = schedule;
        this.progress = progress;
        environment = new SoakEnvironment(settings, root, folder);
        checker = environment.checker;
        operators = new OperatorThreads(checker, environment.proxies);
        faultInjector = new FaultInjector(settings, environment, operators, timeline);
    }

    /** Returns a line for each fault of the schedule. */
    public List<String> plan() {
        return schedule.faults().stream().map(Fault::toString).toList();
    }

    /** Runs to the end, and returns the result. */
    public SoakResult play() throws IOException, InterruptedException {
        startProxies();
        progress.accept(settings.proxies() + " proxies serve");
        Thread.sleep(SETTLING_MS);
        long endNanos = System.nanoTime() + settings.seconds() * NANOS_PER_SECOND;
        timeline.scheduleAtFixedRate(() -> environment.proxies.forEach(ProxyHost::checkProcess),
            PROCESS_CHECK_INTERVAL_MS, PROCESS_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        schedule.faults().forEach(faultInjector::schedule);
        if (settings.planted() == PlantedFault.CRASH) {
            timeline.schedule(this::crash, PLANTED_CRASH_AT_MS, TimeUnit.MILLISECONDS);
        }
        for (Thread client : startClients(endNanos)) {
            client.join();
        }
        operators.finish();
        environment.proxies.forEach(ProxyHost::checkRuleMonitor);
        return checker.result();
    }

    private void startProxies() throws InterruptedException {
        CountDownLatch notStarted = new CountDownLatch(environment.proxies.size());
        for (ProxyHost proxy : environment.proxies) {
            operators.schedule(proxy.number, host -> {
                host.start(StartCondition.PLAIN);
                notStarted.countDown();
            });
        }
        if (!notStarted.await(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            checker.addViolation(Invariant.ALIVE, notStarted.getCount() + " proxies did not start");
        }
    }

    private List<Thread> startClients(long endNanos) {
        List<Thread> threads = new ArrayList<>();
        for (ProxyHost proxy : environment.proxies) {
            for (int i = 0; i < CLIENTS_PER_PROXY; i++) {
                String name = "p" + proxy.number + "c" + i;
                long seed = settings.seed() * 41 + proxy.number * 100L + i;
                boolean keepsConnection = i < KEEP_ALIVE_CLIENTS_PER_PROXY;
                SoakClient client = new SoakClient(proxy, name, keepsConnection, checker, settings, seed);
                threads.add(TestThreads.start("client", () -> client.run(endNanos)));
            }
        }
        return threads;
    }

    /** Crashes the first proxy. Its lost requests are exempt: the crash must show by the process alone. */
    private void crash() {
        checker.exemptKill(0, System.nanoTime(), Long.MAX_VALUE);
        environment.proxies.get(0).destroy();
    }

    @Override
    public void close() {
        timeline.shutdownNow();
        operators.shutdownNow();
        environment.close();
    }
}
