package spurroad.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import spurroad.model.Decisions;
import spurroad.model.EndpointId;
import spurroad.protocol.PeerUpdateCodec;

/** Encodes the replies to successive batches in a buffer that grows as needed. */
final class ReplyEncoder {
    private static final int HEADER_BYTES = 4 + 4; // body length, batch number
    private static final int INSTANCE_BYTES = 4;
    private static final int REQUEST_BYTES = 8;
    private static final int ENDPOINT_BYTES = 4 + 2;
    private static final int DURATION_BYTES = 4;
    private static final int INITIAL_CAPACITY = 1 << 16;
    private static final int MAX_TEXT_BYTES = 2_000;
    private static final byte POLL_NOW = 1;

    private ByteBuffer reply = ByteBuffer.allocate(INITIAL_CAPACITY);

    /** Begins the reply to the batch with the given number. */
    void begin(int batchNumber) {
        reply.clear();
        reply.putInt(0).putInt(batchNumber);
    }

    /** Sets the length of the reply, writes it and flushes the stream. */
    void finish(OutputStream out) throws IOException {
        reply.putInt(0, reply.position() - HEADER_BYTES);
        out.write(reply.array(), 0, reply.position());
        out.flush();
    }

    /** Adds all decisions except the timer, in the order in which they are to be carried out. */
    void addDecisions(int instance, Decisions decisions) {
        for (Decisions.StartAttempt start : decisions.attemptsToStart) {
            addStart(instance, start);
        }
        for (Decisions.CancelAttempt cancel : decisions.attemptsToCancel) {
            begin(DecisionCode.CANCEL_ATTEMPT, REQUEST_BYTES + 1, instance)
                .putLong(cancel.request().value())
                .put((byte) cancel.attempt());
        }
        for (Decisions.FinalResponse response : decisions.responses) {
            addResponse(instance, response);
        }
        addEndpoints(DecisionCode.PROBE_LOAD, decisions.loadProbes, instance);
        addEndpoints(DecisionCode.CLOSE_IDLE_CONNECTIONS, decisions.idleConnectionsToClose, instance);
        for (Decisions.SendPeerUpdate send : decisions.peerUpdates) {
            addPeerMessage(instance, send);
        }
        if (decisions.pollDiscovery) {
            begin(DecisionCode.POLL_DISCOVERY, 1, instance).put(POLL_NOW);
        }
    }

    private void addStart(int instance, Decisions.StartAttempt start) {
        begin(DecisionCode.START_ATTEMPT, REQUEST_BYTES + ENDPOINT_BYTES + DURATION_BYTES, instance)
            .putLong(start.request().value());
        putEndpoint(start.endpoint());
        putDuration(Math.max(WireUnits.NANOS_PER_MICRO, start.timeoutNanos()));
    }

    private void addResponse(int instance, Decisions.FinalResponse response) {
        if (response.rejected()) {
            begin(DecisionCode.REJECT, REQUEST_BYTES + DURATION_BYTES, instance)
                .putLong(response.request().value());
            putDuration(response.retryAfterNanos());
        } else {
            begin(DecisionCode.FAIL, REQUEST_BYTES, instance).putLong(response.request().value());
        }
    }

    private void addEndpoints(DecisionCode code, List<EndpointId> endpoints, int instance) {
        for (EndpointId endpoint : endpoints) {
            begin(code, ENDPOINT_BYTES, instance);
            putEndpoint(endpoint);
        }
    }

    private void addPeerMessage(int instance, Decisions.SendPeerUpdate send) {
        byte[] message = PeerUpdateCodec.encode(send.update());
        begin(DecisionCode.SEND_PEER_MESSAGE, 4 + 2 + message.length, instance)
            .putInt(send.recipient())
            .putShort((short) message.length)
            .put(message);
    }

    /** Adds a timer that expires after at least the delay and is identified by its deadline. */
    void addTimer(int instance, long delayNanos, long deadlineNanos) {
        begin(DecisionCode.SET_TIMER, DURATION_BYTES + 8, instance);
        putDuration(Math.max(0, delayNanos) + WireUnits.NANOS_PER_MICRO - 1); // rounded up
        reply.putLong(deadlineNanos);
    }

    /** Adds the failure of an instance, with a human-readable reason. */
    void addInstanceFailure(int instance, String reason) {
        byte[] text = reason.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(text.length, MAX_TEXT_BYTES);
        begin(DecisionCode.INSTANCE_FAILED, 2 + length, instance).putShort((short) length)
            .put(text, 0, length);
    }

    /** Begins a record with the given number of bytes after the instance number. */
    private ByteBuffer begin(DecisionCode code, int bodyBytes, int instance) {
        int fieldBytes = INSTANCE_BYTES + bodyBytes;
        ensureRemaining(WireUnits.RECORD_HEADER_BYTES + fieldBytes);
        return reply.put(code.code()).putInt(fieldBytes).putInt(instance);
    }

    private void ensureRemaining(int bytes) {
        if (reply.remaining() < bytes) {
            ByteBuffer larger = ByteBuffer.allocate(2 * reply.capacity() + bytes);
            reply.flip();
            reply = larger.put(reply);
        }
    }

    private void putEndpoint(EndpointId endpoint) {
        reply.putInt((int) (endpoint.value() >>> 16)).putShort((short) endpoint.value());
    }

    private void putDuration(long nanos) {
        long micros = Math.max(0, nanos) / WireUnits.NANOS_PER_MICRO;
        reply.putInt((int) Math.min(WireUnits.MAX_U32, micros));
    }
}
