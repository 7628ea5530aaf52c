package spurroad.transport;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The first fields of a line of the kernel's socket table, as positions in the bytes that were read: most
 * lines are of no interest, and the table has one for each socket of the machine. Not thread-safe.
 */
final class SocketTableLine {
    private final int[] starts;
    private final int[] ends;
    private byte[] bytes;
    private int count;

    /** Creates a line of which the given number of fields is read. */
    SocketTableLine(int maxFields) {
        starts = new int[maxFields];
        ends = new int[maxFields];
    }

    /** Finds the fields in a range of bytes; returns whether there are as many as are read. */
    boolean scan(byte[] source, int from, int to) {
        bytes = source;
        count = 0;
        int position = from;
        while (position < to && count < starts.length) {
            if (source[position] == ' ') {
                position++;
                continue;
            }
            starts[count] = position;
            while (position < to && source[position] != ' ') {
                position++;
            }
            ends[count++] = position;
        }
        return count == starts.length;
    }

    /** Returns whether a field starts with a prefix. */
    boolean startsWith(int field, byte[] prefix) {
        return ends[field] - starts[field] >= prefix.length
            && Arrays.equals(bytes, starts[field], starts[field] + prefix.length, prefix, 0, prefix.length);
    }

    /** Returns the text of a field. */
    String field(int field) {
        return new String(bytes, starts[field], ends[field] - starts[field], StandardCharsets.US_ASCII);
    }
}
