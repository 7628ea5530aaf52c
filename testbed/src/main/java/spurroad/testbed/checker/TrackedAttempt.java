package spurroad.testbed.checker;

import java.util.HashSet;
import java.util.Set;
import spurroad.testbed.model.RequestAttempt;

/** What the checker has seen of one attempt, from when its client began to send it. */
final class TrackedAttempt {
    private static final long NOT_ACCEPTED = Long.MAX_VALUE;

    /** Whether the client still expects a response. */
    private enum ClientState {
        WAITING,
        /** The connection ended before a complete response. */
        DISCONNECTED,
        /** The client's deadline passed, or it withdrew the attempt. */
        ABANDONED
    }

    final RequestAttempt attempt;
    final TrackedRequest request;
    private ClientState clientState = ClientState.WAITING;
    private long acceptedAtNanos = NOT_ACCEPTED;
    private int responses;
    /** Executions that reached a server, less those that the server declined without running them. */
    private int possibleExecutions;
    private final Set<String> possibleServers = new HashSet<>(2);

    TrackedAttempt(RequestAttempt attempt, TrackedRequest request) {
        this.attempt = attempt;
        this.request = request;
    }

    void record(long timeNanos, String event) {
        request.history.add(timeNanos, event);
    }

    /** The proxy's host has accepted the attempt's last byte. */
    void accepted(long timeNanos) {
        acceptedAtNanos = timeNanos;
    }

    boolean isAccepted() {
        return acceptedAtNanos != NOT_ACCEPTED;
    }

    /** Returns when the proxy's host accepted the attempt; later than any time while it has not. */
    long acceptedAtNanos() {
        return acceptedAtNanos;
    }

    /** Counts a complete response; returns how many have arrived so far. */
    int addResponse() {
        return ++responses;
    }

    boolean hasResponse() {
        return responses > 0;
    }

    boolean isAbandoned() {
        return clientState == ClientState.ABANDONED;
    }

    void abandon() {
        clientState = ClientState.ABANDONED;
    }

    void disconnect() {
        clientState = ClientState.DISCONNECTED;
    }

    /** Returns whether the proxy owes a response: it accepted the attempt, and the client still waits. */
    boolean isAwaitingResponse() {
        return clientState == ClientState.WAITING && isAccepted() && !hasResponse();
    }

    /** Returns whether work on the attempt is of no use to the client any more. */
    boolean isWorkWasted() {
        return isAbandoned() || hasResponse();
    }

    void executionStarted(String uid) {
        possibleExecutions++;
        possibleServers.add(uid);
    }

    /** A server answered that it did not run the execution. */
    void executionDeclined(String uid) {
        possibleExecutions--;
        possibleServers.remove(uid);
    }

    boolean mayHaveRun() {
        return possibleExecutions > 0;
    }

    /** Returns the uids of the servers at which the attempt may have run. */
    Set<String> possibleServers() {
        return possibleServers;
    }
}
