package spurroad.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static spurroad.balancer.BalancerFixture.DEDUPLICATED;
import static spurroad.balancer.BalancerFixture.MS;
import static spurroad.balancer.BalancerFixture.NON_IDEMPOTENT;
import static spurroad.balancer.BalancerFixture.READ;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spurroad.model.CellId;
import spurroad.model.Decisions;
import spurroad.model.DeduplicationScope;
import spurroad.model.Endpoint;
import spurroad.model.EndpointPhase;
import spurroad.model.Outcome;
import spurroad.model.RequestClassId;
import spurroad.model.ZoneId;

/**
 * A load balancer before cache nodes, with or without an origin, that record each request's executions.
 * Checks, at each decision, that it is one that the request's class allows.
 */
final class RepeatedExecutionFixture {
    static final int CACHE_ENDPOINTS = 5;
    private static final long ORIGIN_ID = 99;
    private static final int MAX_ATTEMPTS = 4; // of the fixture's deployment
    private static final long DEDUPLICATION_WINDOW_NANOS = 800 * MS; // of the fixture's deployment

    /** What happens next. */
    enum Kind {
        READ_ARRIVES, DEDUPLICATED_WRITE_ARRIVES, NON_IDEMPOTENT_WRITE_ARRIVES, ATTEMPT_ENDS,
        ENDPOINT_CHANGES,
        OPERATOR_DRAINS, OPERATOR_RETURNS, CLIENT_DISCONNECTS
    }

    /**
     * An event, and the time until the next one.
     *
     * @param choice selects among endpoints, requests or attempts in flight
     */
    record Event(Kind kind, int choice, Outcome outcome, EndpointPhase phase, int pauseMillis) {}

    private record SentAttempt(int number, Endpoint endpoint, long sentNanos) {}

    /** What is known of one request. */
    private static final class SentRequest {
        private final RequestClassId requestClass;
        private int attempts;
        private SentAttempt inFlight;
        private SentAttempt firstPossibleExecution;
        private boolean ended; // its client has a final response or has left

        private SentRequest(RequestClassId requestClass) {
            this.requestClass = requestClass;
        }
    }

    private final DeduplicationScope scope;
    private final BalancerFixture balancer;
    private final Map<Long, Endpoint> listed = new HashMap<>();
    private final Map<Long, SentRequest> requests = new HashMap<>();
    private int repeats;

    /**
     * Creates the load balancer.
     *
     * @param withOrigin whether there is an origin, to which all writes go; otherwise cache nodes take them
     */
    RepeatedExecutionFixture(DeduplicationScope scope, boolean withOrigin) {
        this.scope = scope;
        balancer = new BalancerFixture(withOrigin, scope);
        List<Endpoint> entries = BalancerFixture.endpoints(CACHE_ENDPOINTS, withOrigin);
        entries.forEach(entry -> listed.put(entry.id().value(), entry));
        check(balancer.updateEndpoints(true, entries));
    }

    /** Returns how many attempts followed one of the same request that may have been executed. */
    int repeats() {
        return repeats;
    }

    void run(List<Event> events) {
        for (Event event : events) {
            apply(event);
            check(balancer.advance(event.pauseMillis));
        }
    }

    private void apply(Event event) {
        switch (event.kind) {
            case READ_ARRIVES -> arrive(READ, event.choice);
            case DEDUPLICATED_WRITE_ARRIVES -> arrive(DEDUPLICATED, event.choice);
            case NON_IDEMPOTENT_WRITE_ARRIVES -> arrive(NON_IDEMPOTENT, event.choice);
            case ATTEMPT_ENDS -> endAttempt(event.choice, event.outcome);
            case ENDPOINT_CHANGES -> changeEndpoint(event.choice, event.phase);
            case OPERATOR_DRAINS -> check(balancer.setDrained(endpointId(event.choice), true));
            case OPERATOR_RETURNS -> check(balancer.setDrained(endpointId(event.choice), false));
            case CLIENT_DISCONNECTS -> disconnect(event.choice);
        }
    }

    private long endpointId(int choice) {
        int index = choice % listed.size();
        return index == CACHE_ENDPOINTS ? ORIGIN_ID : index;
    }

    private void arrive(RequestClassId requestClass, int key) {
        long id = requests.size() + 1;
        requests.put(id, new SentRequest(requestClass));
        check(balancer.request(id, requestClass, key));
    }

    private void endAttempt(int choice, Outcome outcome) {
        List<Long> inFlight = new ArrayList<>();
        requests.forEach((id, request) -> {
            if (request.inFlight != null) {
                inFlight.add(id);
            }
        });
        if (inFlight.isEmpty()) {
            return;
        }
        long id = inFlight.get(choice % inFlight.size());
        SentRequest request = requests.get(id);
        SentAttempt attempt = request.inFlight;
        request.inFlight = null;
        if (!outcome.provesNotExecuted() && request.firstPossibleExecution == null) {
            request.firstPossibleExecution = attempt;
        }
        request.ended |= outcome == Outcome.SUCCEEDED;
        check(balancer.endAttempt(id, attempt.number, outcome));
    }

    /** Lists the endpoint in another phase; one that is listed as it is already starts anew. */
    private void changeEndpoint(int choice, EndpointPhase phase) {
        Endpoint current = listed.get(endpointId(choice));
        long startedNanos = current.phase() == phase ? balancer.nowNanos : current.startedAtNanos();
        Endpoint next = new Endpoint(current.id(), current.kind(), current.zone(), current.cell(),
            startedNanos, current.weight(), phase);
        listed.put(next.id().value(), next);
        check(balancer.updateEndpoints(false, List.of(next)));
    }

    private void disconnect(int choice) {
        if (!requests.isEmpty()) {
            long id = 1 + choice % requests.size();
            requests.get(id).ended = true;
            check(balancer.disconnectClient(id));
        }
    }

    // ---- the rules

    private void check(Decisions decisions) {
        decisions.attemptsToStart.forEach(this::checkStart);
        decisions.responses.forEach(this::checkResponse);
    }

    private void checkStart(Decisions.StartAttempt start) {
        SentRequest request = requests.get(start.request().value());
        Endpoint endpoint = listed.get(start.endpoint().value());
        assertFalse(request.ended, "attempt after the end of its request");
        assertTrue(request.inFlight == null, "two attempts in flight");
        assertTrue(request.attempts < MAX_ATTEMPTS, "too many attempts");
        assertEquals(endpoint.phase(), EndpointPhase.READY, "phase of the endpoint");
        if (request.firstPossibleExecution != null) {
            repeats++;
            checkRepeat(request, endpoint, start.sendDeadlineNanos());
        }
        request.inFlight = new SentAttempt(request.attempts, endpoint, balancer.nowNanos);
        request.attempts++;
    }

    private void checkRepeat(SentRequest request, Endpoint endpoint, long sendDeadlineNanos) {
        assertTrue(!request.requestClass.equals(NON_IDEMPOTENT), "non-idempotent request sent again");
        if (request.requestClass.equals(DEDUPLICATED)) {
            SentAttempt first = request.firstPossibleExecution;
            assertTrue(sendDeadlineNanos <= first.sentNanos + DEDUPLICATION_WINDOW_NANOS
                && balancer.nowNanos < sendDeadlineNanos, "repeat after the window");
            assertTrue(recognisesRepeat(first.endpoint, endpoint), "repeat outside the scope");
        }
    }

    private boolean recognisesRepeat(Endpoint first, Endpoint second) {
        ZoneId zone = first.zone();
        CellId cell = first.cell();
        return switch (scope) {
            case ALL -> true;
            case ZONE -> zone.equals(second.zone());
            case CELL -> cell.equals(second.cell());
        };
    }

    private void checkResponse(Decisions.FinalResponse response) {
        SentRequest request = requests.get(response.request().value());
        assertFalse(request.ended, "second final response");
        request.ended = true;
        if (!response.rejected() || request.requestClass.equals(READ)) {
            return;
        }
        assertTrue(request.inFlight == null, "rejected with an attempt in flight");
        SentAttempt first = request.firstPossibleExecution;
        if (first != null) {
            assertTrue(request.requestClass.equals(DEDUPLICATED) && scope == DeduplicationScope.ALL
                && balancer.nowNanos < first.sentNanos + DEDUPLICATION_WINDOW_NANOS,
                "rejected though it may have run");
        }
    }
}
