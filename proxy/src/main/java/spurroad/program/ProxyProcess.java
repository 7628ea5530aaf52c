package spurroad.program;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import spurroad.admin.AdminServer;
import spurroad.configuration.ProxyConfiguration;
import spurroad.program.restart.HotRestart;
import spurroad.transport.Clock;
import spurroad.transport.EventLog;
import spurroad.transport.Threads;
import sun.misc.Signal;

/**
 * The process of one proxy: its signals, its log and the order of its start. SIGHUP reloads the settings;
 * SIGTERM shuts down gracefully. Both handlers are installed before the proxy starts, as the default action
 * of either signal ends the process.
 */
final class ProxyProcess {
    private static final String LOG_FORMAT_PROPERTY = "spurroad.log";
    private static final String DEBUG_LOG_PROPERTY = "spurroad.log.debug"; // true: with debug lines
    private static final String JSON_LOG_FORMAT = "json"; // one JSON object a line; plain lines otherwise
    private static final String LOGGER_NAME = "spurroad";
    private static final long LOG_FLUSH_MILLIS = 200;
    private static final long CLOSE_MILLIS = 100; // 200 ms are left before the process is killed

    private final StartBudget budget = new StartBudget(); // measures time from its creation
    private final CompletableFuture<ProxyService> started = new CompletableFuture<>();
    private final Lifecycle<ProxyService> lifecycle = new Lifecycle<>(ProxyService::end);
    private Logger debugLogger; // held, as an unreferenced logger may be collected and lose its level
    private volatile AdminServer adminServer; // null if none is configured

    /** Serves until the process receives a termination signal; throws if the start fails. */
    void run() throws ListenException, InterruptedException {
        reloadOnHangup();
        configureLogging();
        EventLog log = new EventLog();
        shutDownOnTermination(log);
        start(ProxyConfiguration.fromEnvironment(System.getenv()), log);
        new CountDownLatch(1).await(); // the threads of the proxy serve until the process ends
    }

    /**
     * Defers a reload until the proxy has started, as the deployment platform may send SIGHUP during the
     * start.
     */
    private void reloadOnHangup() {
        Signal.handle(new Signal("HUP"), signal -> started.thenAccept(
            service -> service.reload(() -> ProxyConfiguration.fromEnvironment(System.getenv()))));
    }

    /** Must run before the first logger is created. */
    private void configureLogging() {
        System.setProperty("java.util.logging.manager", ShutdownSafeLogManager.class.getName());
        LineFormatter formatter = new LineFormatter(
            JSON_LOG_FORMAT.equals(System.getProperty(LOG_FORMAT_PROPERTY)));
        boolean debug = Boolean.getBoolean(DEBUG_LOG_PROPERTY);
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.setFormatter(formatter);
            handler.setLevel(debug ? Level.ALL : handler.getLevel());
        }
        if (debug) {
            debugLogger = Logger.getLogger(LOGGER_NAME);
            debugLogger.setLevel(Level.FINE);
        }
    }

    /** Exits with 0 if a started proxy was shut down, else with the default code of the signal. */
    private void shutDownOnTermination(EventLog log) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            boolean stopped = lifecycle.stop();
            log.flush(LOG_FLUSH_MILLIS);
            endBlockingSystemCalls();
            if (stopped) {
                Runtime.getRuntime().halt(0);
            }
        }));
    }

    /**
     * Ends threads that are blocked in system calls: at exit the virtual machine waits up to 0.3 s for them,
     * and the process may be killed before. Waits for the sockets to close, as the virtual machine stops all
     * threads at exit, including the one that closes them.
     */
    private void endBlockingSystemCalls() {
        AdminServer admin = adminServer;
        if (admin != null) {
            admin.close();
        }
        ProxyService service = started.getNow(null);
        if (service == null) {
            return;
        }
        service.close();
        try {
            service.awaitClosed(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void start(ProxyConfiguration configuration, EventLog log)
        throws ListenException, InterruptedException {
        log.info("starting", "name=" + configuration.name); // first, as the first log line takes longest
        Threads threads = new Threads(log);
        Clock clock = new Clock();
        adminServer = adminServer(configuration, threads, log, clock);
        // before the warm-up, so that other processes of this proxy can free descriptors meanwhile
        HotRestart hotRestart = HotRestart.of(configuration, log);
        new WarmUp(configuration).run(threads, log, clock, budget.warmUpMillis());
        ProxyService service = service(configuration, threads, log, clock, hotRestart);
        started.complete(service);
        if (adminServer != null) {
            adminServer.setRoutes(service.adminRoutes());
        }
    }

    /** Returns null if the configuration has no admin address. */
    private static AdminServer adminServer(ProxyConfiguration configuration, Threads threads, EventLog log,
                                           Clock clock)
        throws ListenException {
        if (configuration.adminAddress == null) {
            return null;
        }
        try {
            return new AdminServer(configuration.adminAddress, threads, log, clock);
        } catch (IOException e) {
            throw new ListenException(configuration.adminAddress + " for calls", e);
        }
    }

    private ProxyService service(ProxyConfiguration configuration, Threads threads, EventLog log, Clock clock,
                                 HotRestart hotRestart)
        throws ListenException, InterruptedException {
        try {
            return lifecycle.start(
                () -> new ProxyService(configuration, threads, log, clock, hotRestart, budget));
        } catch (IOException e) {
            throw new ListenException(
                configuration.listenDescriptor.isEmpty() ? configuration.listenAddress : "descriptor 0", e);
        }
    }
}
