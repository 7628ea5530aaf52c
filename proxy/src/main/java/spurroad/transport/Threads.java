package spurroad.transport;

/**
 * Starts the program's threads. All are daemons with small stacks, and they are few, however many connections
 * there are.
 */
public final class Threads {
    private static final long STACK_BYTES = 144 * 1024; // parsers and handlers need only a few frames

    private final EventLog log;

    /** Creates an instance that logs exceptions that end a thread. */
    public Threads(EventLog log) {
        this.log = log;
    }

    /** Starts a daemon thread that runs a task and ends with it. */
    public void start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.setUncaughtExceptionHandler((failed, e) -> log.warn("thread failed",
            "thread=" + failed.getName() + " error=" + EventLog.describe(e)));
        thread.start();
    }
}
