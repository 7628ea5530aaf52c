package spurroad.routing;

import spurroad.model.RequestClassId;
import spurroad.model.TenantId;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.MetaResponse;

/**
 * Admits requests of clients, or rejects them before they reserve any resource. The checks are ordered by
 * cost: during a connection burst, most requests are rejected no later than by the admission controller. Used
 * on the event loop only.
 */
final class RequestIntake {
    /** The request's line is held as it came, and once more as a part of an attempt's message. */
    private static final int LINE_COPIES = 2;

    private final ClientConnections clients;

    RequestIntake(ClientConnections clients) {
        this.clients = clients;
    }

    /**
     * Passes a request to the load balancer and returns null, or returns the response of a rejected request.
     *
     * @param slot slot for its response
     * @param requestClass number of its class
     * @param tenant number of its tenant; -1 if it is unknown
     * @param arrivedAtNanos when its last byte arrived, Unix nanoseconds
     */
    byte[] admit(ClientConnection client, ResponseSlot slot, MetaCommand command, int requestClass,
                 int tenant, long arrivedAtNanos) {
        if (isIdInUse(client, command)) {
            return client.rejectCommand("CLIENT_ERROR request id in use");
        }
        count(slot, requestClass);
        if (clients.abandoned.contains(command.id(), clients.now())) {
            return failRepeat(client, slot);
        }
        if (client.isGuest()) {
            return reject(RejectionReason.NO_PLACE, clients.admission.busyResponse());
        }
        if (!client.commands().hasReadAll()) {
            clients.log.warn("read-ahead limit exceeded", client);
            return reject(RejectionReason.TOO_MUCH_AHEAD, clients.admission.busyResponse());
        }
        if (!clients.admission.admits(requestClass, tenant)) {
            return reject(RejectionReason.SERVICE_LEVEL, clients.admission.rejection());
        }
        boolean isValueShort = command.valueLength() <= MetaCommand.MAX_BUFFERED_VALUE_BYTES;
        long bytes = ClientConnections.REQUEST_MEMORY_BYTES + LINE_COPIES * command.lineLength()
            + (isValueShort ? command.valueLength() : 0);
        if (!clients.requestMemory.tryReserve(bytes)) {
            return rejectForMemory(client);
        }
        slot.setRequestBytes(bytes);
        if (isValueShort) {
            slot.releaseUploadMemory(); // the value is part of the request's memory from now on
        }
        slot.nonIdempotent = clients.isNonIdempotent(requestClass);
        slot.request = new ProxiedRequest(client, command, new RequestClassId(requestClass), slot.statistics,
            new TenantId(tenant), clients.loop.earliestArrivalNanos(),
            clients.deadlineNanos(arrivedAtNanos, command.timeoutMillis()));
        clients.openRequests.put(command.id(), slot.request);
        clients.loadBalancer.onRequest(slot.request);
        return null;
    }

    /**
     * Returns the response to a request whose client left and that comes again. It is no rejection, which
     * promises that the request did not run.
     */
    private byte[] failRepeat(ClientConnection client, ResponseSlot slot) {
        clients.log.warn("request came again after its client left, not repeated", client);
        slot.end = OutcomeStatistics.End.ABORTED;
        return MetaResponse.failed();
    }

    /** Returns the response to a write whose value was given up because there was no memory for it. */
    byte[] rejectWithoutMemory(ClientConnection client, ResponseSlot slot, int requestClass) {
        count(slot, requestClass);
        return rejectForMemory(client);
    }

    private byte[] rejectForMemory(ClientConnection client) {
        clients.log.warn("memory budget exhausted, request rejected", client);
        return reject(RejectionReason.NO_ROOM, clients.admission.busyResponse());
    }

    /** Counts a request, as declined unless it is admitted. */
    private void count(ResponseSlot slot, int requestClass) {
        slot.statistics = clients.statistics(requestClass);
        slot.statistics.onRequest();
        slot.end = OutcomeStatistics.End.DECLINED;
    }

    /** Returns whether another request with the same id is in flight for a client that is still connected. */
    private boolean isIdInUse(ClientConnection client, MetaCommand command) {
        ProxiedRequest sameId = client.isGuest() ? null : clients.openRequests.get(command.id());
        return sameId != null && (sameId.client == client || sameId.client.commands().isStillConnected());
    }

    private byte[] reject(RejectionReason reason, byte[] response) {
        clients.events.onRejected(reason);
        return response;
    }
}
