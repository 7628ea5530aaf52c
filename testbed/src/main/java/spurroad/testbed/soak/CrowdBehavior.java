package spurroad.testbed.soak;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * What the clients of a {@link Crowd} do, each on a connection that costs the proxy a descriptor or memory.
 */
enum CrowdBehavior {
    /** Sends nothing. */
    SILENT(0, Pace.AT_ONCE),
    /** Sends the beginning of a command. */
    SENDS_HALF_COMMAND(1, Pace.AT_ONCE),
    /** Closes its connection at once. */
    LEAVES(0, Pace.AT_ONCE),
    /** Writes a value slowly. */
    WRITES_SLOWLY(1, new Pace(1_400, 50, Integer.MAX_VALUE)),
    /** Stops in the middle of a long value. */
    STOPS_WITHIN_VALUE(1, Pace.AT_ONCE),
    /** Sends many writes at once. */
    WRITES_AHEAD(256, Pace.AT_ONCE),
    /** Sends many commands at once that have long lines of short fields and are invalid. */
    SENDS_INVALID_AHEAD(512, Pace.AT_ONCE),
    /** Sends a long line of short fields byte by byte. */
    SENDS_BYTE_BY_BYTE(1, new Pace(1, 6, Integer.MAX_VALUE)),
    /** Sends many reads at once, and reads the large values slowly. */
    READS_SLOWLY(16, new Pace(Integer.MAX_VALUE, 100, 4_096));

    /**
     * How fast a client sends and reads.
     *
     * @param sentBytes bytes sent at most in a turn
     * @param turnMs the time between two turns
     * @param receivedBytes bytes read at most in a turn
     */
    record Pace(int sentBytes, int turnMs, int receivedBytes) {
        static final Pace AT_ONCE = new Pace(Integer.MAX_VALUE, 5, Integer.MAX_VALUE);
    }

    /** Behaviors that cost memory rather than just a descriptor. */
    static final List<CrowdBehavior> COSTING_MEMORY = List.of(WRITES_SLOWLY, STOPS_WITHIN_VALUE, WRITES_AHEAD,
        SENDS_INVALID_AHEAD, SENDS_BYTE_BY_BYTE, READS_SLOWLY);
    /** Behaviors that cost a descriptor and nearly no memory. */
    static final List<CrowdBehavior> COSTING_DESCRIPTORS = List.of(SILENT, SENDS_HALF_COMMAND, LEAVES);

    private static final String ID_PREFIX = "crowd";
    private static final int SLOW_VALUE_BYTES = 60_000;
    private static final int LONG_VALUE_BYTES = 1_048_576;
    private static final int SHORT_VALUE_BYTES = 4_000;
    private static final int FIELDS = 240; // nearly the longest line that a proxy accepts
    private static final byte[] VALUE = filled(LONG_VALUE_BYTES);
    private static final ByteBuffer LINE_END = ByteBuffer.wrap(new byte[] {'\r', '\n'});

    /** The number of commands sent on one connection. */
    final int commands;
    final Pace pace;

    CrowdBehavior(int commands, Pace pace) {
        this.commands = commands;
        this.pace = pace;
    }

    private static byte[] filled(int length) {
        byte[] bytes = new byte[length];
        Arrays.fill(bytes, (byte) 'y');
        return bytes;
    }

    /** Returns whether a request with this id was sent by a crowd. */
    static boolean isCrowdRequest(String id) {
        return id.startsWith(ID_PREFIX);
    }

    /**
     * Returns the bytes of a command, in parts that are sent one after another.
     *
     * @param name a name that no other command has
     */
    List<ByteBuffer> command(String name) {
        String id = ID_PREFIX + name;
        return switch (this) {
            case SILENT, LEAVES -> List.of();
            case SENDS_HALF_COMMAND -> List.of(text("mg k" + id + " v O" + id + " Pc=read,t=ac"));
            case WRITES_SLOWLY -> write(id, SLOW_VALUE_BYTES, ",k=" + id);
            case STOPS_WITHIN_VALUE -> {
                ByteBuffer half = value(LONG_VALUE_BYTES / 2);
                yield List.of(write(id, LONG_VALUE_BYTES, ",k=" + id).get(0), half);
            }
            case WRITES_AHEAD -> write(id, SHORT_VALUE_BYTES, ",k=" + id);
            case SENDS_INVALID_AHEAD -> write(id, 1, shortFields());
            case SENDS_BYTE_BY_BYTE -> List.of(read("k" + id, id, shortFields()));
            case READS_SLOWLY -> List.of(read(FakeServer.LARGE_KEY_PREFIX + id, id, ""));
        };
    }

    /** Returns a write, which is invalid without an idempotency key among the further fields. */
    private static List<ByteBuffer> write(String id, int valueBytes, String furtherFields) {
        ByteBuffer line = text("ms k" + id + " " + valueBytes + " O" + id + " Pc=put,t=acme,d=1500"
            + furtherFields + "\r\n");
        return List.of(line, value(valueBytes), LINE_END.duplicate());
    }

    private static ByteBuffer read(String key, String id, String furtherFields) {
        return text("mg " + key + " v O" + id + " Pc=read,t=acme,d=1500" + furtherFields + "\r\n");
    }

    private static String shortFields() {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < FIELDS; i++) {
            fields.append(",a").append(i).append("=1");
        }
        return fields.toString();
    }

    private static ByteBuffer value(int length) {
        return ByteBuffer.wrap(VALUE, 0, length).slice();
    }

    private static ByteBuffer text(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
