package spurroad.transport;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Starts every thread of the program, all with small stacks. Those of connections and of
 * short work are kept a while and used again: many connections are short, and a new thread costs more than their
 * work. One further thread tells when a time is reached.
 */
public final class Threads {
    private static final long STACK_BYTES = 144 * 1024; // bytes; parsers and actors go a few frames deep
    private static final long KEEP_S = 10; // s; a spare thread that long unused is not soon needed

    private final EventLog log;
    private final AtomicLong number = new AtomicLong();
    private final ThreadPoolExecutor shortWork;
    private final ScheduledThreadPoolExecutor alarm;

    public Threads(EventLog log) {
        this.log = log;
        ThreadFactory small = r -> thread("work-" + number.incrementAndGet(), r);
        shortWork = new ThreadPoolExecutor(1, Integer.MAX_VALUE, KEEP_S, TimeUnit.SECONDS,
            new SynchronousQueue<>(), small);
        alarm = new ScheduledThreadPoolExecutor(1, small);
        alarm.setRemoveOnCancelPolicy(true);
    }

    /** A thread of its own, for as long as the work lasts. */
    public void start(String name, Runnable work) {
        thread(name, work).start();
    }

    /** A thread for as long as a connection lasts; one that another has left, where there is one. */
    public void connection(Runnable work) {
        shortWork.execute(work);
    }

    /** Work that ends soon, or that at worst holds up one peer. */
    public void run(Runnable work) {
        try {
            shortWork.execute(work);
        } catch (OutOfMemoryError e) {
            // no further thread is to be had: a late message is better than a lost one
            log.trouble("no thread for short work", e.getMessage());
            alarm.execute(work);
        }
    }

    /** Runs tiny work, such as telling an actor, once the time has passed, unless it is cancelled before. */
    public Alarm after(long ns, Runnable work) {
        var due = alarm.schedule(work, Math.max(0, ns), TimeUnit.NANOSECONDS);
        return () -> due.cancel(false);
    }

    /** What was asked for at a time; cancelling it twice, or late, does nothing. */
    public interface Alarm {
        void cancel();
    }

    private Thread thread(String name, Runnable work) {
        Thread t = new Thread(null, work, name, STACK_BYTES);
        t.setDaemon(true);
        t.setUncaughtExceptionHandler((at, e) ->
            log.trouble("a thread failed", at.getName() + ", " + EventLog.where(e)));
        return t;
    }
}
