package spurroad.control.distribution.support;

import java.util.ArrayDeque;
import java.util.Deque;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.message.Message;
import spurroad.control.distribution.message.Outbox;
import spurroad.control.distribution.message.Participant;

/** Delays the received messages of a process, which handles them in batches at intervals. */
public final class SlowReader implements Participant {
    private record ReceivedMessage(ProcessId from, Message message) {}

    private final Participant process;
    private final long intervalNanos;
    private final Deque<ReceivedMessage> inbox = new ArrayDeque<>();
    private long nextReadNanos;

    /** Wraps a process; the interval is in nanoseconds. */
    public SlowReader(Participant process, long intervalNanos) {
        this.process = process;
        this.intervalNanos = intervalNanos;
    }

    @Override
    public void onMessage(long nowNanos, ProcessId from, Message message, Outbox outbox) {
        if (inbox.isEmpty()) {
            nextReadNanos = nowNanos + intervalNanos;
        }
        inbox.add(new ReceivedMessage(from, message));
    }

    @Override
    public void onTimer(long nowNanos, Outbox outbox) {
        while (nowNanos >= nextReadNanos && !inbox.isEmpty()) {
            ReceivedMessage next = inbox.remove();
            process.onMessage(nowNanos, next.from(), next.message(), outbox);
        }
        if (nowNanos >= process.nextTimerNanos()) {
            process.onTimer(nowNanos, outbox);
        }
    }

    @Override
    public long nextTimerNanos() {
        return inbox.isEmpty() ? process.nextTimerNanos() : Math.min(nextReadNanos, process.nextTimerNanos());
    }
}
