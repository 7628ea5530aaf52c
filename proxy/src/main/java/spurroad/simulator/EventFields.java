package spurroad.simulator;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import spurroad.model.EndpointId;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;

/**
 * Reads the fields of one record in order. Each method throws {@link java.nio.BufferUnderflowException} past
 * the end of the record, and {@link IllegalArgumentException} for an invalid length.
 */
final class EventFields {
    private static final long MAX_TIME_MICROS = Long.MAX_VALUE / WireUnits.NANOS_PER_MICRO;
    private static final Outcome[] OUTCOMES = Outcome.values();

    private final ByteBuffer bytes;

    EventFields(ByteBuffer bytes) {
        this.bytes = bytes;
    }

    int u8() {
        return bytes.get() & 0xff;
    }

    int u16() {
        return bytes.getShort() & 0xffff;
    }

    int i32() {
        return bytes.getInt();
    }

    long i64() {
        return bytes.getLong();
    }

    float f32() {
        return bytes.getFloat();
    }

    /** Reads a duration, encoded as an unsigned 32-bit number of microseconds. */
    long durationNanos() {
        return (bytes.getInt() & WireUnits.MAX_U32) * WireUnits.NANOS_PER_MICRO;
    }

    /** Reads a time, encoded in Unix microseconds, limited to the range of Unix nanoseconds. */
    long timeNanos() {
        return Math.max(0, Math.min(bytes.getLong(), MAX_TIME_MICROS)) * WireUnits.NANOS_PER_MICRO;
    }

    /** Reads the number of elements that follow, each of the given size in bytes. */
    int count(int bytesPerElement) {
        int count = bytes.getInt();
        if (count < 0 || (long) count * bytesPerElement > bytes.remaining()) {
            throw new IllegalArgumentException("element count is negative or exceeds the record");
        }
        return count;
    }

    /** Reads a UTF-8 text that is preceded by its length in bytes. */
    String text() {
        return new String(bytes(count(1)), StandardCharsets.UTF_8);
    }

    /** Reads a length and as many bytes, or fewer at the end of the record. */
    byte[] message() {
        return bytes(Math.min(u16(), bytes.remaining()));
    }

    private byte[] bytes(int count) {
        byte[] copy = new byte[count];
        bytes.get(copy);
        return copy;
    }

    /** Reads an endpoint id, encoded as an IPv4 address and a port. */
    EndpointId endpointId() {
        return new EndpointId((bytes.getInt() & WireUnits.MAX_U32) << 16 | u16());
    }

    /** Reads the outcome of an attempt or a load probe; an unknown code counts as a failure. */
    Outcome outcome() {
        int code = u16();
        return code < OUTCOMES.length ? OUTCOMES[code] : Outcome.FAILED;
    }

    /** Reads a load report with the given column names; ignores all columns but rif and q. */
    LoadReport loadReport(List<String> columns) {
        int count = u8();
        if (count == 0) {
            return LoadReport.NONE;
        }
        double inFlight = Double.NaN;
        double queued = Double.NaN;
        for (int i = 0; i < count; i++) {
            double value = f32();
            String column = i < columns.size() && Double.isFinite(value) ? columns.get(i) : "";
            switch (column) {
                case "rif" -> inFlight = value;
                case "q" -> queued = value;
                default -> {}
            }
        }
        return new LoadReport(inFlight, queued);
    }
}
