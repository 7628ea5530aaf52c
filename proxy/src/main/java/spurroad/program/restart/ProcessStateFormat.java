package spurroad.program.restart;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The text of a {@code PID.state} file: a header, one {@code key value} line for each field in any order, and
 * a trailer that detects truncated text. Unknown keys are ignored, so later versions can add fields.
 *
 * <pre>
 * spurroad-process 1
 * begun 1796234364292
 * serving 1796234364765
 * ending false
 * places 216
 * out 817cda195c3fbf24 817cdb195c3fc0d7
 * end
 * </pre>
 */
final class ProcessStateFormat {
    private static final String HEADER = "spurroad-process 1";
    private static final String STARTED_AT = "begun";
    private static final String SERVING_SINCE = "serving";
    private static final String SHUTTING_DOWN = "ending";
    private static final String DESCRIPTORS = "places";
    private static final String DRAINED_HASHES = "out";
    private static final String TRAILER = "end";
    private static final String SEPARATOR = " ";
    private static final int MIN_LINES = 3; // header, trailer, and the empty string after the last line break

    private ProcessStateFormat() {}

    static String encode(ProcessState state) {
        return String.join("\n", HEADER,
            STARTED_AT + SEPARATOR + state.startedAtMillis(),
            SERVING_SINCE + SEPARATOR + state.servingSinceMillis(),
            SHUTTING_DOWN + SEPARATOR + state.shuttingDown(),
            DESCRIPTORS + SEPARATOR + state.descriptors(),
            DRAINED_HASHES + SEPARATOR + String.join(SEPARATOR, new TreeSet<>(state.drainedEndpointHashes())),
            TRAILER, "");
    }

    /** Decodes a state; empty if the text is truncated or of another format. */
    static Optional<ProcessState> decode(String text) {
        String[] lines = text.split("\n", -1);
        if (lines.length < MIN_LINES || !lines[0].equals(HEADER)
            || !lines[lines.length - 2].equals(TRAILER)) {
            return Optional.empty();
        }
        Map<String, String> fields = fields(Arrays.asList(lines).subList(1, lines.length - 2));
        try {
            return Optional.of(new ProcessState(Long.parseLong(fields.get(STARTED_AT)),
                Long.parseLong(fields.get(SERVING_SINCE)),
                Boolean.parseBoolean(fields.get(SHUTTING_DOWN)),
                Integer.parseInt(fields.get(DESCRIPTORS)),
                hashes(fields.getOrDefault(DRAINED_HASHES, ""))));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Map<String, String> fields(Iterable<String> lines) {
        Map<String, String> fields = new HashMap<>();
        for (String line : lines) {
            int keyLength = line.indexOf(SEPARATOR);
            if (keyLength < 0) {
                fields.put(line, "");
            } else {
                fields.put(line.substring(0, keyLength), line.substring(keyLength + 1));
            }
        }
        return fields;
    }

    private static Set<String> hashes(String separated) {
        Set<String> hashes = new TreeSet<>(Arrays.asList(separated.split(SEPARATOR)));
        hashes.remove("");
        return hashes;
    }
}
