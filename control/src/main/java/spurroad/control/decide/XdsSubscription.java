package spurroad.control.decide;

import java.util.Optional;

/**
 * The subscription of one proxy to one type of resource on an xDS stream, in the state-of-the-world variant.
 * At most one response is unanswered at a time, and only the newest version waits behind it, so that a slow
 * proxy receives the newest state and no queue grows. A version that the proxy rejected is not sent again.
 *
 * <p>Source: "xDS REST and gRPC protocol", sections on ACK, NACK, nonces and resource type instance versions.
 *
 * <p>Not thread-safe. An empty string stands for no version.
 */
public final class XdsSubscription {
    private static final String NONE = "";

    private String newestVersion = NONE;
    private String pendingVersion = NONE; // version of the unanswered response
    private String lastNonce = NONE;
    private String acknowledgedVersion = NONE;
    private String rejectedVersion = NONE;
    private long responseCount;
    private boolean hasRequest;
    private boolean mustResend; // the requested resources changed: even an acknowledged version is sent again

    /**
     * A response to send to the proxy.
     *
     * @param version version of the resources in the response
     * @param nonce identifier that the proxy returns when it acknowledges or rejects the response
     */
    public record Response(String version, String nonce) {}

    /** Handles a new version of the resources; returns the response to send now, if any. */
    public Optional<Response> onNewVersion(String version) {
        newestVersion = version;
        return nextResponse();
    }

    /**
     * Handles a request of the proxy, which may acknowledge or reject a response; returns the response to
     * send now, if any.
     *
     * @param version version that the proxy acknowledged last; empty for none
     * @param nonce nonce of the response that this request answers; empty in the first request of a stream
     * @param error reason why the proxy rejects that response (NACK); null if it acknowledges it (ACK)
     * @param resourcesChanged whether the set of requested resources differs from the previous request
     */
    public Optional<Response> onRequest(String version, String nonce, String error,
                                        boolean resourcesChanged) {
        if (!hasRequest) {
            return onFirstRequest(version, resourcesChanged);
        }
        if (!nonce.equals(lastNonce)) {
            return Optional.empty(); // answers a response that a later one has superseded
        }
        if (hasPendingResponse()) {
            completePendingResponse(error == null);
        }
        mustResend |= resourcesChanged;
        return nextResponse();
    }

    /**
     * Handles the first request; a proxy that resumes a subscription is not sent its current version again.
     */
    private Optional<Response> onFirstRequest(String version, boolean resourcesChanged) {
        hasRequest = true;
        acknowledgedVersion = version;
        mustResend = resourcesChanged && version.equals(NONE);
        return nextResponse();
    }

    private boolean hasPendingResponse() {
        return !pendingVersion.equals(NONE);
    }

    private void completePendingResponse(boolean isAcknowledged) {
        if (isAcknowledged) {
            acknowledgedVersion = pendingVersion;
        } else {
            rejectedVersion = pendingVersion;
        }
        pendingVersion = NONE;
    }

    private Optional<Response> nextResponse() {
        boolean isOutdated = mustResend || !newestVersion.equals(acknowledgedVersion);
        boolean canSend = !newestVersion.equals(NONE) && isOutdated && !newestVersion.equals(rejectedVersion);
        if (!hasRequest || hasPendingResponse() || !canSend) {
            return Optional.empty();
        }
        mustResend = false;
        pendingVersion = newestVersion;
        responseCount++;
        lastNonce = Long.toString(responseCount);
        return Optional.of(new Response(pendingVersion, lastNonce));
    }

    /** Returns the version that the proxy acknowledged last; empty for none. */
    public String acknowledgedVersion() {
        return acknowledgedVersion;
    }

    /** Returns the version that the proxy rejected last; empty for none. */
    public String rejectedVersion() {
        return rejectedVersion;
    }

    /** Returns whether the proxy has acknowledged the newest version. */
    public boolean isUpToDate() {
        return acknowledgedVersion.equals(newestVersion);
    }
}
