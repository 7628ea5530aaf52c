package spurroad.model;

import java.util.ArrayList;
import java.util.List;

/**
 * The decisions on one event: filled by the load balancer, executed by its host in the order of the fields,
 * then cleared for the next event. Not thread-safe.
 */
public final class Decisions {
    /**
     * An attempt to start; the attempts of a request are numbered from 0 in this order.
     *
     * @param timeoutNanos how long to wait for the end of the attempt, in nanoseconds
     * @param sendDeadlineNanos time until which its last byte may be sent, in the load balancer's time;
     *     Long.MAX_VALUE if there is no such deadline
     */
    public record StartAttempt(RequestId request, EndpointId endpoint, long timeoutNanos,
                               long sendDeadlineNanos) {}

    /** An attempt to cancel, given by its number; the host ignores it if the attempt has ended. */
    public record CancelAttempt(RequestId request, int attempt) {}

    /**
     * A final response other than a success.
     *
     * @param rejected whether the response promises that a retry does no harm; otherwise the request may have
     *     had an effect
     * @param retryAfterNanos Retry-After of the response, in nanoseconds; zero if it carries none
     */
    public record FinalResponse(RequestId request, boolean rejected, long retryAfterNanos) {}

    /** An update to send to another proxy, given by its index, or to {@link #ALL_PEERS}. */
    public record SendPeerUpdate(int recipient, PeerUpdate update) {}

    /** The recipient of an update to all proxies except this one. */
    public static final int ALL_PEERS = -1;

    /** Attempts to start. */
    public final List<StartAttempt> attemptsToStart = new ArrayList<>();
    /** Attempts to cancel. */
    public final List<CancelAttempt> attemptsToCancel = new ArrayList<>();
    /** Final responses to send to clients. */
    public final List<FinalResponse> responses = new ArrayList<>();
    /** Endpoints to send a load probe to. */
    public final List<EndpointId> loadProbes = new ArrayList<>();
    /** Endpoints to which idle connections are to be closed. */
    public final List<EndpointId> idleConnectionsToClose = new ArrayList<>();
    /** Updates to send to other proxies. */
    public final List<SendPeerUpdate> peerUpdates = new ArrayList<>();
    /** Whether to subscribe to the endpoint list now. */
    public boolean pollDiscovery;
    /** Whether the administrative status may have changed. */
    public boolean adminStatusChanged;
    /** Time at which to call the load balancer next, in its time; Long.MAX_VALUE for never. */
    public long wakeAtNanos = Long.MAX_VALUE;

    /** Resets all fields for the next event. */
    public void clear() {
        attemptsToStart.clear();
        attemptsToCancel.clear();
        responses.clear();
        loadProbes.clear();
        idleConnectionsToClose.clear();
        peerUpdates.clear();
        pollDiscovery = false;
        adminStatusChanged = false;
        wakeAtNanos = Long.MAX_VALUE;
    }
}
