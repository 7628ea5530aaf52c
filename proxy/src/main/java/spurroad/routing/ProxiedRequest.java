package spurroad.routing;

import java.util.ArrayList;
import java.util.List;
import spurroad.model.RequestClassId;
import spurroad.model.RequestId;
import spurroad.model.TenantId;
import spurroad.protocol.MetaCommand;

/**
 * Request of a client on its way through the proxy. It is created on the event loop when it is admitted;
 * afterwards the load balancer's thread owns it until it is finished. Times are Unix nanoseconds.
 */
final class ProxiedRequest {
    final ClientConnection client;
    final MetaCommand command;
    final RequestClassId requestClass;
    final OutcomeStatistics.ClassCounts statistics;
    final TenantId tenant;
    final long acceptedAtNanos;
    /** Time when the client stops waiting or this process ends; no attempt may take longer. */
    final long deadlineNanos;

    // accessed by the event loop only
    /** Whether no response is awaited any more: attempts that were not sent yet are not started. */
    boolean clientDisconnected;
    /** Whether the first byte of an attempt was sent, so that the request may run. */
    boolean sent;

    // accessed by the load balancer's thread only
    RequestId id;
    final List<UpstreamRequest> attempts = new ArrayList<>(2);
    int attemptsInFlight;
    /** Whether the final response was decided, or no response is awaited any more. */
    boolean finished;

    ProxiedRequest(ClientConnection client, MetaCommand command, RequestClassId requestClass,
                   OutcomeStatistics.ClassCounts statistics, TenantId tenant, long acceptedAtNanos,
                   long deadlineNanos) {
        this.client = client;
        this.command = command;
        this.requestClass = requestClass;
        this.statistics = statistics;
        this.tenant = tenant;
        this.acceptedAtNanos = acceptedAtNanos;
        this.deadlineNanos = deadlineNanos;
    }

    /**
     * Returns whether the response can be written as soon as it is there: all earlier responses to the client
     * are written. Called on the event loop only.
     */
    boolean isNextResponse() {
        return client == null || client.isNextResponse(this);
    }

    /**
     * Returns whether the client has sent more commands after this request. Called on the event loop only.
     */
    boolean hasCommandsBehind() {
        return client != null && client.hasCommandsBehind(this);
    }

    /**
     * Returns whether no response is awaited any more; checks the client's connection now, if there is one.
     * Called on the event loop only.
     */
    boolean isAbandoned() {
        return clientDisconnected || client != null && client.commands().hasDisconnected();
    }
}
