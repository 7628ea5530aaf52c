package spurroad.routing;

import spurroad.balancer.LoadBalancer;
import spurroad.configuration.DeploymentSettings;
import spurroad.model.EndpointId;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;
import spurroad.protocol.EndpointList;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.MetaResponse;
import spurroad.protocol.UpstreamReply;
import spurroad.transport.Clock;
import spurroad.transport.StallDetector;

/**
 * Handles the events in the life of a request: its arrival, the end of its attempts, and the disconnect of
 * its client. Each event is recorded and passed to {@link LoadBalancer}, and the resulting decisions are
 * executed. Used by the load balancer's thread only.
 */
final class RequestEvents {
    private static final long NANOS_PER_MICRO = 1_000L;

    private final LoadBalancer balancer;
    private final DecisionExecutor executor;
    private final InFlightRequests requests;
    private final RequestCounters counters;
    private final LoopOutbox outbox;
    private final Clock clock;
    private final StallDetector stalls;
    private DeploymentSettings settings;
    private AdmissionController admission;
    private long queueDelayNanos; // total over the requests since the last report
    private int delayedRequests;

    RequestEvents(LoadBalancer balancer, DecisionExecutor executor, InFlightRequests requests,
                  RequestCounters counters, LoopOutbox outbox, Clock clock, StallDetector stalls,
                  DeploymentSettings settings) {
        this.balancer = balancer;
        this.executor = executor;
        this.requests = requests;
        this.counters = counters;
        this.outbox = outbox;
        this.clock = clock;
        this.stalls = stalls;
        this.settings = settings;
    }

    /** Sets the admission controller; must be called before the thread starts. */
    void setAdmissionController(AdmissionController controller) {
        admission = controller;
    }

    /** Applies other settings to the requests that follow. */
    void configure(DeploymentSettings next) {
        settings = next;
    }

    /** Handles a request that was admitted on the event loop. */
    void onRequest(ProxiedRequest request) {
        requests.add(request);
        counters.onRequest();
        long now = clock.now();
        queueDelayNanos += now - request.acceptedAtNanos;
        delayedRequests++;
        MetaCommand command = request.command;
        // the response must be sent one tick before the client's deadline, to have time to reach the client
        long timeLeft = request.deadlineNanos - now - settings.deployment.clockTickNanos();
        balancer.onRequest(now, request.id, request.requestClass, request.tenant,
            EndpointList.cacheKey(command.key()), command.kind == MetaCommand.Kind.WRITE,
            command.costHintMicros() * NANOS_PER_MICRO, Math.max(0, timeLeft), executor.cleared());
        executor.execute();
    }

    /**
     * Reports to the admission controller how long requests have waited for this thread, if there were any.
     */
    void reportQueueDelay() {
        if (delayedRequests > 0) {
            long nanos = queueDelayNanos;
            int count = delayedRequests;
            outbox.add(() -> admission.onQueueDelay(nanos, count));
            queueDelayNanos = delayedRequests = 0;
        }
    }

    /** Handles the disconnect of a request's client, which may follow the final response. */
    void onClientDisconnect(ProxiedRequest request) {
        if (!request.finished) {
            counters.onClientDisconnect();
            abandon(request);
        }
    }

    /** Fails all requests that have no final response, because this process is about to be killed. */
    void failAll() {
        for (ProxiedRequest request : requests.snapshot()) {
            if (!request.finished) {
                counters.onResponse(false);
                outbox.add(new ResponseMessage(request, MetaResponse.failed(), OutcomeStatistics.End.ABORTED,
                    null, null));
                abandon(request);
            }
        }
    }

    /** Finishes a request whose response is no longer awaited. */
    private void abandon(ProxiedRequest request) {
        request.finished = true;
        outbox.add(() -> request.clientDisconnected = true);
        request.attempts.forEach(attempt -> outbox.add(() -> attempt.pool.withdraw(attempt)));
        balancer.onClientDisconnect(clock.now(), request.id, executor.cleared());
        executor.execute();
        requests.removeIfDone(request);
    }

    /** Handles the end of an attempt, or of a load probe if the attempt belongs to no request. */
    void onAttemptEnd(UpstreamRequest attempt, UpstreamReply reply) {
        ProxiedRequest request = attempt.request;
        if (request == null) {
            onLoadProbeEnd(attempt.pool.id(), reply.outcome(), reply.loadReport());
            return;
        }
        request.attemptsInFlight--;
        counters.onAttemptEnd(reply.outcome());
        if (reply.outcome() == Outcome.SUCCEEDED && !request.finished) {
            request.finished = true;
            counters.onSucceeded();
            outbox.add(new ResponseMessage(request, reply.response(), OutcomeStatistics.End.SUCCEEDED,
                attempt.longResponse, attempt.responseMemory));
        } else if (attempt.longResponse != null || attempt.responseMemory != null) {
            outbox.add(attempt::abandonReply);
        }
        balancer.onAttemptEnd(clock.now(), request.id, attempt.index, reply.outcome(), reply.loadReport(),
            request.finished, stalls.totalNanos() - attempt.stalledNanosAtDecision, executor.cleared());
        executor.execute();
        requests.removeIfDone(request);
    }

    /** Reports the failure of a load probe that was decided for an endpoint that is no longer listed. */
    void onUnroutableProbe(EndpointId id) {
        onLoadProbeEnd(id, Outcome.NO_CONNECTION, LoadReport.NONE);
    }

    private void onLoadProbeEnd(EndpointId id, Outcome outcome, LoadReport load) {
        balancer.onLoadProbeEnd(clock.now(), id, outcome, load, executor.cleared());
        executor.execute();
    }
}
