package spurroad.simulator;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import spurroad.configuration.DeploymentSettings;
import spurroad.configuration.InvalidSettingException;
import spurroad.model.Decisions;
import spurroad.transport.EventLog;

/**
 * Runs many load balancers for a simulator: reads batches of events and replies to each with the resulting
 * decisions. An instance whose load balancer throws an exception is reported as failed and still receives
 * further events.
 *
 * <p>Not thread-safe.
 */
public final class SimulatorAdapter {
    private final DataInputStream in;
    private final OutputStream out;
    private final Map<Integer, SimulatedInstance> instances = new HashMap<>();
    private final Decisions decisions = new Decisions();
    private final ReplyEncoder reply = new ReplyEncoder();

    /** Creates an adapter with the streams from and to the simulator. */
    public SimulatorAdapter(DataInputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
    }

    /**
     * Replies to batches until the input ends after a complete batch.
     *
     * @throws IOException if a stream fails
     * @throws WireFormatException if the input is malformed; the malformed batch gets no reply
     */
    public void run() throws IOException {
        for (EventBatch batch = EventBatch.read(in); batch != null; batch = EventBatch.read(in)) {
            reply.begin(batch.number());
            processBatch(batch);
            reply.finish(out);
        }
    }

    private void processBatch(EventBatch batch) {
        ByteBuffer records = batch.records();
        for (int i = 0; i < batch.recordCount(); i++) {
            int code;
            ByteBuffer fields;
            try {
                code = records.get() & 0xff;
                fields = takeFields(records, i);
            } catch (BufferUnderflowException e) {
                throw new WireFormatException("record " + i + " is truncated");
            }
            try {
                processRecord(code, batch.nowNanos(), new EventFields(fields));
            } catch (BufferUnderflowException | IllegalArgumentException e) {
                throw new WireFormatException(
                    "record " + i + " with code " + code + " has invalid fields");
            }
        }
        if (records.hasRemaining()) {
            throw new WireFormatException("batch is longer than its records");
        }
    }

    private static ByteBuffer takeFields(ByteBuffer records, int index) {
        int length = records.getInt();
        if (length < 0 || length > records.remaining()) {
            throw new WireFormatException("record " + index + " is longer than its batch");
        }
        ByteBuffer fields = records.slice(records.position(), length);
        records.position(records.position() + length);
        return fields;
    }

    private void processRecord(int code, long nowNanos, EventFields fields) {
        EventCode eventCode = EventCode.of(code);
        if (eventCode == null) {
            return;
        }
        int number = fields.i32();
        if (eventCode == EventCode.LAUNCH) {
            launch(number, fields);
            return;
        }
        SimulatedInstance instance = instances.get(number);
        if (instance == null) {
            return;
        }
        if (eventCode == EventCode.POWER_OFF) {
            instances.remove(number);
            return;
        }
        processEvent(number, instance, instance.decode(eventCode, fields), nowNanos);
    }

    private void launch(int number, EventFields fields) {
        long seed = fields.i64();
        try {
            DeploymentSettings settings = DeploymentSettings.fromLines(fields.text());
            instances.put(number, new SimulatedInstance(settings, seed));
        } catch (InvalidSettingException e) {
            throw new WireFormatException(e.getMessage());
        }
    }

    private void processEvent(int number, SimulatedInstance instance, SimulatorEvent event, long nowNanos) {
        decisions.clear();
        try {
            instance.deliver(event, nowNanos, decisions);
        } catch (RuntimeException e) {
            reply.addInstanceFailure(number, EventLog.describe(e));
            return;
        }
        reply.addDecisions(number, decisions);
        long wakeAtNanos = decisions.wakeAtNanos;
        if (instance.setTimerIfEarlier(wakeAtNanos)) {
            reply.addTimer(number, wakeAtNanos - nowNanos, wakeAtNanos);
        }
    }
}
