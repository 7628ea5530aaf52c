package spurroad.balancer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import spurroad.model.AdminStatus;
import spurroad.model.AdminStatus.AwaitedEvent;
import spurroad.model.AdminStatus.RestrictedEndpoint;
import spurroad.model.Decisions;
import spurroad.model.PeerUpdate;

/**
 * Records each event of a load balancer and every field of its decisions, in order, and computes a digest of
 * the text. The text contains numbers only (enumerations by their ordinal), so that it does not change when
 * types and fields are renamed. With the system property {@code trace.folder} set the text is written there
 * as well, to find the first event that differs.
 */
final class DecisionTrace {
    private final MessageDigest digest;
    private final StringBuilder line = new StringBuilder();
    private final StringBuilder text = new StringBuilder();
    private final String name;
    private final String folder = System.getProperty("trace.folder");
    private long callCount;

    DecisionTrace(String name) {
        this.name = name;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Records one event, identified by a letter, and its arguments. */
    void recordCall(char letter, Object... arguments) {
        callCount++;
        line.append(letter);
        for (Object argument : arguments) {
            line.append(' ').append(argument);
        }
        endLine();
    }

    void recordDecisions(Decisions decisions) {
        for (Decisions.StartAttempt attempt : decisions.attemptsToStart) {
            line.append(" S ").append(attempt.request().value()).append(' ')
                .append(attempt.endpoint().value())
                .append(' ').append(attempt.timeoutNanos()).append(' ').append(attempt.sendDeadlineNanos());
        }
        for (Decisions.CancelAttempt cancel : decisions.attemptsToCancel) {
            line.append(" C ").append(cancel.request().value()).append(' ').append(cancel.attempt());
        }
        for (Decisions.FinalResponse response : decisions.responses) {
            line.append(" A ").append(response.request().value()).append(' ').append(response.rejected())
                .append(' ').append(response.retryAfterNanos());
        }
        decisions.loadProbes.forEach(endpoint -> line.append(" P ").append(endpoint.value()));
        decisions.idleConnectionsToClose.forEach(endpoint -> line.append(" I ").append(endpoint.value()));
        for (Decisions.SendPeerUpdate sentUpdate : decisions.peerUpdates) {
            line.append(" T ").append(sentUpdate.recipient());
            appendPeerUpdate(sentUpdate.update());
        }
        line.append(" F ").append(decisions.pollDiscovery).append(' ').append(decisions.adminStatusChanged)
            .append(" W ")
            .append(decisions.wakeAtNanos);
        endLine();
    }

    private void appendPeerUpdate(PeerUpdate update) {
        line.append(' ').append(update.topic().ordinal()).append(' ').append(update.subject()).append(' ')
            .append(update.value()).append(' ').append(update.serviceTimeNanos()).append(' ')
            .append(update.cachedFraction())
            .append(' ').append(update.key().value());
    }

    void recordAdminStatus(AdminStatus status) {
        line.append("N ").append(status.listedEndpoints());
        for (RestrictedEndpoint endpoint : status.restricted()) {
            boolean hasEnd = endpoint.awaits() == AwaitedEvent.EJECTION_END
                || endpoint.awaits() == AwaitedEvent.RETURN_BY_OPERATOR;
            line.append(hasEnd ? " " + endpoint.untilNanos() : "");
        }
        endLine();
    }

    private void endLine() {
        line.append('\n');
        digest.update(line.toString().getBytes(StandardCharsets.US_ASCII));
        if (folder != null) {
            text.append(line);
        }
        line.setLength(0);
    }

    long callCount() {
        return callCount;
    }

    /** Ends the trace; returns the digest of its text in hexadecimal digits. */
    String digest() {
        if (folder != null) {
            try {
                Files.createDirectories(Path.of(folder));
                Files.writeString(Path.of(folder, name + ".txt"), text);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return HexFormat.of().formatHex(digest.digest());
    }
}
