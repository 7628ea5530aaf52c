package spurroad.control.distribution.support;

import java.util.function.LongConsumer;
import spurroad.control.Trace;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.message.Message;
import spurroad.control.distribution.message.Outbox;
import spurroad.control.distribution.message.Participant;

/**
 * Writes each call of a process into a trace: the arguments, each message that the process sends, the time of
 * its next timer and its state after the call.
 */
public final class TracedParticipant implements Participant {
    private final ProcessId self;
    private final Participant process;
    private final Trace trace;
    private final LongConsumer stateWriter;

    /** Wraps a process; {@code stateWriter} writes its state at a given time. */
    public TracedParticipant(ProcessId self, Participant process, Trace trace, LongConsumer stateWriter) {
        this.self = self;
        this.process = process;
        this.trace = trace;
        this.stateWriter = stateWriter;
    }

    @Override
    public void onMessage(long nowNanos, ProcessId from, Message message, Outbox outbox) {
        begin('r', nowNanos);
        MessageTrace.process(trace, from);
        MessageTrace.fields(trace, message);
        process.onMessage(nowNanos, from, message, traced(trace, outbox));
        end(nowNanos);
    }

    @Override
    public void onTimer(long nowNanos, Outbox outbox) {
        begin('w', nowNanos);
        process.onTimer(nowNanos, traced(trace, outbox));
        end(nowNanos);
    }

    @Override
    public long nextTimerNanos() {
        return process.nextTimerNanos();
    }

    private void begin(char call, long nowNanos) {
        trace.part(call).number(nowNanos);
        MessageTrace.process(trace, self);
    }

    private void end(long nowNanos) {
        trace.part('=').number(process.nextTimerNanos());
        stateWriter.accept(nowNanos);
        trace.end();
    }

    /** Returns an outbox that writes each message into the trace before it forwards the message. */
    public static Outbox traced(Trace trace, Outbox outbox) {
        return (to, message) -> {
            trace.part('>');
            MessageTrace.process(trace, to);
            MessageTrace.message(trace, message);
            outbox.send(to, message);
        };
    }
}
