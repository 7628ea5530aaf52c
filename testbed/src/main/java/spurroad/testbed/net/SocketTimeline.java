package spurroad.testbed.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import spurroad.testbed.time.Timeline;

/** Real time, with alarms on the loop. The time is negative until {@link #begin}. */
final class SocketTimeline implements Timeline {
    /** Longer than any preparation takes. */
    private static final long PREPARATION_NANOS = 3_600_000_000_000L;

    private final EventLoop loop;
    private volatile long originNanos = System.nanoTime() + PREPARATION_NANOS;

    SocketTimeline(EventLoop loop) {
        this.loop = loop;
    }

    /** Sets the time to zero; to be called once, before the first call to {@link #at}. */
    void begin() {
        originNanos = System.nanoTime();
    }

    @Override
    public long now() {
        return System.nanoTime() - originNanos;
    }

    @Override
    public Alarm at(long timeNs, Runnable work) {
        return after(timeNs - now(), work);
    }

    @Override
    public Alarm after(long ns, Runnable work) {
        ScheduledFuture<?> scheduled = loop.schedule(work, Math.max(0, ns), TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }
}
