package spurroad.control.decide;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All endpoints and the policy that are sent to proxies at one time. The version is a hash of the content
 * alone. Control services that are not in contact therefore compute the same version for the same content,
 * and a proxy that switches between them sees no change.
 *
 * @param number number of the snapshot at one control service, starting at 1
 * @param version hash of the content, in hexadecimal digits
 * @param createdAtMillis creation time, Unix time in milliseconds
 * @param cause one-line reason why the snapshot differs from the previous one
 * @param endpoints the endpoints by uid
 * @param policy keys and values of the operators' policy, in the format that proxies accept
 */
public record Snapshot(long number, String version, long createdAtMillis, String cause,
                       SortedMap<String, Endpoint> endpoints, SortedMap<String, String> policy) {
    /** Number of hexadecimal digits of the SHA-256 hash in a version: 64 bits. */
    private static final int VERSION_DIGITS = 16;

    /** Creates a snapshot of copies of the content, and computes its version. */
    public static Snapshot of(long number, long createdAtMillis, String cause,
                              SortedMap<String, Endpoint> endpoints, SortedMap<String, String> policy) {
        return new Snapshot(number, version(endpoints, policy), createdAtMillis, cause,
            new TreeMap<>(endpoints), new TreeMap<>(policy));
    }

    /** Returns the hash that identifies the given content. */
    public static String version(SortedMap<String, Endpoint> endpoints, SortedMap<String, String> policy) {
        MessageDigest digest = sha256();
        endpoints.values().forEach(endpoint -> update(digest, endpoint));
        policy.forEach((key, value) -> update(digest, "policy", key, value));
        return HexFormat.of().formatHex(digest.digest()).substring(0, VERSION_DIGITS);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                "SHA-256 is not available, though every Java runtime must provide it", e);
        }
    }

    /**
     * Adds an endpoint to the digest. The literal {@code member} in the first field is part of the hash and
     * must not change, whatever the type is called.
     */
    private static void update(MessageDigest digest, Endpoint endpoint) {
        update(digest, "member", endpoint.uid(), endpoint.address(), endpoint.zone(), endpoint.kind(),
            Double.toString(endpoint.weight()), Long.toString(endpoint.status().startedAtMillis()),
            endpoint.status().state().name());
    }

    /** Adds each field preceded by its length, so that different contents result in different bytes. */
    private static void update(MessageDigest digest, String... fields) {
        for (String field : fields) {
            byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
            digest.update(new byte[] {(byte) (bytes.length >>> 24), (byte) (bytes.length >>> 16),
                (byte) (bytes.length >>> 8), (byte) bytes.length});
            digest.update(bytes);
        }
    }

    /**
     * Returns the differences from an earlier snapshot, one line each: endpoints in the order of uids, then
     * policy settings in the order of keys.
     */
    public List<String> differencesFrom(Snapshot earlier) {
        return SnapshotDiff.of(earlier, this);
    }
}
