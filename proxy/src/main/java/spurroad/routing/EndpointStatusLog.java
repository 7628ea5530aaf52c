package spurroad.routing;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import spurroad.model.AdminStatus;
import spurroad.model.AdminStatus.AwaitedEvent;
import spurroad.model.AdminStatus.RestrictedEndpoint;
import spurroad.model.EndpointId;

/**
 * Logs which endpoints are ejected or on trial, and the event that each awaits, whenever this changes.
 * Without these lines, nobody would notice an endpoint that awaits an event that never occurs. Used by the
 * load balancer's thread only.
 */
final class EndpointStatusLog {
    // the load balancer reports no event when an ejected endpoint makes progress
    private static final long RENEWAL_INTERVAL_NANOS = 1_000_000_000L;
    private static final int MAX_LOGGED_ENDPOINTS = 8; // for each awaited event, in one line

    private final Function<EndpointId, String> names;
    private final BiConsumer<String, String> log;
    private String lastFields;
    private boolean anyEjected;
    private long statusNanos;

    /**
     * Creates a log whose last status has no restricted endpoints.
     *
     * @param names returns the name by which operators know an endpoint
     * @param log writes a line from its fixed event phrase and its fields
     */
    EndpointStatusLog(Function<EndpointId, String> names, BiConsumer<String, String> log) {
        this.names = names;
        this.log = log;
        lastFields = fields(AdminStatus.NONE);
    }

    /** Returns whether to fetch the status again because ejected endpoints may have made progress. */
    boolean isRenewalDue(long now) {
        return anyEjected && now - statusNanos >= RENEWAL_INTERVAL_NANOS;
    }

    /** Logs a status if it differs from the previous one. */
    void onStatus(AdminStatus status, long now) {
        statusNanos = now;
        anyEjected = status.awaiting(AwaitedEvent.RETURN_BY_OPERATOR) < status.restricted().size();
        String fields = fields(status);
        if (!fields.equals(lastFields)) {
            lastFields = fields;
            log.accept("ejected endpoints changed", fields);
        }
    }

    private String fields(AdminStatus status) {
        return "waiting=" + describe(status, AwaitedEvent.EJECTION_END)
            + " awaitingProbe=" + describe(status, AwaitedEvent.LOAD_PROBE_REPLY)
            + " onTrial=" + describe(status, AwaitedEvent.TRIAL_SUCCESS);
    }

    private String describe(AdminStatus status, AwaitedEvent event) {
        List<RestrictedEndpoint> matching = status.restricted().stream()
            .filter(endpoint -> endpoint.awaits() == event).toList();
        String logged = matching.stream().limit(MAX_LOGGED_ENDPOINTS)
            .map(endpoint -> names.apply(endpoint.id())).collect(Collectors.joining(", "));
        int omitted = matching.size() - MAX_LOGGED_ENDPOINTS;
        return "[" + logged + (omitted > 0 ? ", and " + omitted + " more" : "") + "]";
    }
}
