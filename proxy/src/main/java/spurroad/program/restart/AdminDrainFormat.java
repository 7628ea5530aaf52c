package spurroad.program.restart;

import java.util.Optional;
import spurroad.protocol.EndpointList;

/**
 * The text of an {@code out-HASH} file: a header and the id of the drained endpoint, one line each. The hash
 * in the file's name must match the id, so truncated text is detected.
 */
final class AdminDrainFormat {
    private static final String HEADER = "spurroad-out 1";
    private static final int LINE_COUNT = 3; // header, id, and the empty string after the last line break

    private AdminDrainFormat() {}

    /**
     * Returns the hash of an endpoint's id in hexadecimal digits, used in the names of the directory's files.
     */
    static String endpointHash(String endpointId) {
        return Long.toHexString(EndpointList.hash(endpointId));
    }

    static String encode(String endpointId) {
        return HEADER + "\n" + endpointId + "\n";
    }

    /** Returns the endpoint's id; empty if the text is truncated, of another format or of another hash. */
    static Optional<String> decode(String text, String endpointHash) {
        String[] lines = text.split("\n", -1);
        if (lines.length != LINE_COUNT || !lines[0].equals(HEADER)) {
            return Optional.empty();
        }
        String endpointId = lines[1];
        return endpointHash(endpointId).equals(endpointHash) ? Optional.of(endpointId) : Optional.empty();
    }
}
