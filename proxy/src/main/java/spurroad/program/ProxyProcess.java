package spurroad.program;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Handler;
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
 * SIGTERM shuts down gracefully. Both are handled from the first moment on, as their default ends the
 * process.
 */
final class ProxyProcess {
    private static final String LOG_FORMAT_PROPERTY = "spurroad.log";
    private static final String JSON_LOG_FORMAT = "json"; // one JSON object a line; plain lines otherwise
    private static final long LOG_FLUSH_MILLIS = 200;
    private static final long CLOSE_MILLIS = 100; // of the 200 that are left before the kill

    private final StartBudget budget = new StartBudget(); // counts from here on
    private final CompletableFuture<ProxyService> started = new CompletableFuture<>();
    private final Lifecycle<ProxyService> lifecycle = new Lifecycle<>(ProxyService::end);
    private volatile AdminServer adminServer; // null where there is none

    /** Serves until the process is told to end; returns only where the start fails. */
    void run() throws ListenException, InterruptedException {
        reloadOnHangup();
        configureLogging();
        EventLog log = new EventLog();
        shutDownOnTermination(log);
        start(ProxyConfiguration.fromEnvironment(System.getenv()), log);
        new CountDownLatch(1).await(); // the threads of the proxy serve until the process ends
    }

    /** Reloads once the proxy has started: the platform may signal a process that has only just begun. */
    private void reloadOnHangup() {
        Signal.handle(new Signal("HUP"), signal -> started.thenAccept(
            service -> service.reload(() -> ProxyConfiguration.fromEnvironment(System.getenv()))));
    }

    /** Has to come before the first logger is made. */
    private static void configureLogging() {
        System.setProperty("java.util.logging.manager", ShutdownSafeLogManager.class.getName());
        LineFormatter formatter = new LineFormatter(
            JSON_LOG_FORMAT.equals(System.getProperty(LOG_FORMAT_PROPERTY)));
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.setFormatter(formatter);
        }
    }

    /** The exit code is 0 where a proxy was shut down, and the default's where none had started. */
    private void shutDownOnTermination(EventLog log) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            boolean stopped = lifecycle.stop();
            log.flush(LOG_FLUSH_MILLIS);
            leaveSystemCalls();
            if (stopped) {
                Runtime.getRuntime().halt(0);
            }
        }));
    }

    /**
     * Has threads end that are inside system calls: the virtual machine waits up to 0.3 s for such at its
     * end, and the process may be killed before. Returns once that is done, as the virtual machine stops all
     * threads at its end, also the one that does it.
     */
    private void leaveSystemCalls() {
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
        log.info("starting", "name=" + configuration.name); // before all else: the first line takes longest
        Threads threads = new Threads(log);
        Clock clock = new Clock();
        adminServer = adminServer(configuration, threads, log, clock);
        // before the warm-up: another process of this proxy makes room meanwhile
        HotRestart hotRestart = HotRestart.of(configuration, log);
        new WarmUp(configuration).run(threads, log, clock, budget.warmUpMillis());
        ProxyService service = service(configuration, threads, log, clock, hotRestart);
        started.complete(service);
        if (adminServer != null) {
            adminServer.setRoutes(service.adminRoutes());
        }
    }

    /** Returns null where the configuration gives no second address. */
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
