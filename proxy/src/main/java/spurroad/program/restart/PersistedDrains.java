package spurroad.program.restart;

import java.util.Map;
import java.util.Set;

/**
 * The administratively drained endpoints that the directory contains.
 *
 * @param endpointIdsByHash ids by {@link AdminDrainFormat#endpointHash}
 * @param unreadableHashes hashes whose files can't be read or are malformed, so that it is unknown whether
 *     the endpoint is drained
 */
record PersistedDrains(Map<String, String> endpointIdsByHash, Set<String> unreadableHashes) {
    boolean isDrained(String endpointHash) {
        return endpointIdsByHash.containsKey(endpointHash);
    }

    /** Returns whether the endpoint is certainly not drained: it has no file, not even an unreadable one. */
    boolean isNotDrained(String endpointHash) {
        return !isDrained(endpointHash) && !unreadableHashes.contains(endpointHash);
    }
}
