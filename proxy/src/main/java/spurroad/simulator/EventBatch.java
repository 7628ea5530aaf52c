package spurroad.simulator;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A received batch of events whose records are not decoded yet.
 *
 * @param number the batch number, repeated in the reply
 * @param nowNanos the time of all its events, in Unix nanoseconds of simulated time
 * @param recordCount the number of records according to the header
 * @param records the encoded records
 */
record EventBatch(int number, long nowNanos, int recordCount, ByteBuffer records) {
    private static final int HEADER_BYTES = 4 + 8 + 4 + 4; // body length, time in us, record count, number
    private static final int MAX_BATCH_BYTES = 1 << 28;

    /**
     * Reads the next batch; returns null at the end of the input.
     *
     * @throws WireFormatException if the header is invalid or the input ends inside the batch
     */
    static EventBatch read(DataInputStream in) throws IOException {
        int firstByte = in.read();
        if (firstByte < 0) {
            return null;
        }
        byte[] header = new byte[HEADER_BYTES];
        header[0] = (byte) firstByte;
        readFully(in, header, 1);
        ByteBuffer fields = ByteBuffer.wrap(header);
        long length = fields.getInt() & WireUnits.MAX_U32;
        long nowMicros = fields.getLong();
        long recordCount = fields.getInt() & WireUnits.MAX_U32;
        int number = fields.getInt();
        if (!isValidHeader(length, nowMicros, recordCount)) {
            throw new WireFormatException(
                "batch " + (number & WireUnits.MAX_U32) + " has an invalid header");
        }
        byte[] body = new byte[(int) length];
        readFully(in, body, 0);
        return new EventBatch(number, nowMicros * WireUnits.NANOS_PER_MICRO, (int) recordCount,
            ByteBuffer.wrap(body));
    }

    private static boolean isValidHeader(long length, long nowMicros, long recordCount) {
        return length <= MAX_BATCH_BYTES && recordCount <= length / WireUnits.RECORD_HEADER_BYTES
            && nowMicros >= 0 && nowMicros <= Long.MAX_VALUE / WireUnits.NANOS_PER_MICRO;
    }

    private static void readFully(DataInputStream in, byte[] buffer, int offset) throws IOException {
        try {
            in.readFully(buffer, offset, buffer.length - offset);
        } catch (EOFException e) {
            throw new WireFormatException("input ended inside a batch");
        }
    }
}
