package spurroad.routing;

import spurroad.admission.EvictionPriority;
import spurroad.transport.Connection;
import spurroad.transport.UnacknowledgedSends;

/**
 * Closes a client's connection if the client is idle, has stalled, or reads no responses, and tells how soon
 * the connection may be closed for others. Used on the event loop only.
 */
final class ClientInactivity {
    private final ClientConnection owner;
    private final ClientConnections clients;
    private final Connection connection;
    private final CommandReader commands;
    private final ResponseWriter responses;
    private final ClientActivity activity;

    ClientInactivity(ClientConnection owner, ClientConnections clients, Connection connection,
                     CommandReader commands, ResponseWriter responses, ClientActivity activity) {
        this.owner = owner;
        this.clients = clients;
        this.connection = connection;
        this.commands = commands;
        this.responses = responses;
        this.activity = activity;
    }

    // ---- state

    /** Returns the time of the last activity on the connection, in Unix nanoseconds. */
    long lastActivityNanos() {
        return activity.lastActivityNanos();
    }

    /**
     * Returns whether the connection is idle between two commands. A connection that was just opened is not:
     * its first command is on its way, and the client does not send it again. Nor is a connection whose
     * client may still be receiving responses: a reset drops what the operating system has not sent yet.
     */
    private boolean isIdle() {
        long now = clients.now();
        return owner.isBetweenCommands() && !responses.mayHaveUndelivered(now) && activity.isIdle(now);
    }

    /** Returns whether the connection could be closed as idle if its responses were delivered. */
    boolean awaitsDelivery(long now) {
        return responses.mayHaveUndelivered(now) && owner.isBetweenCommands() && activity.isIdle(now);
    }

    /** Notes that the responses are delivered, if the given state shows it. */
    void confirmDelivery(UnacknowledgedSends sends) {
        if (!connection.hasUnacknowledgedBytes(sends)) {
            responses.onDelivered();
        }
    }

    /** Returns whether the connection has been idle for so long that it should be closed. */
    boolean isIdleTimeoutExpired(boolean crowded) {
        return activity.isIdleTimeoutExpired(clients.now(), crowded);
    }

    /** Returns how overdue the connection is for eviction, as {@link EvictionPriority} defines it. */
    double overdue() {
        return evictionPriority().overdue(clients.now() - lastActivityNanos());
    }

    private EvictionPriority evictionPriority() {
        if (!responses.isIdle() || owner.discardsInput() || commands.isUploadWaitingForMemory()
            || responses.mayHaveUndelivered(clients.now())) {
            return EvictionPriority.REQUEST_IN_FLIGHT;
        }
        if (!commands.isBetweenCommands()) {
            return EvictionPriority.PARTIAL_REQUEST;
        }
        return activity.hasResponded() ? EvictionPriority.IDLE : EvictionPriority.NEVER_USED;
    }

    // ---- closing

    /**
     * Closes the connection if it is idle between two commands, unless a command has just arrived. It is
     * closed by a reset, because a command may still be on its way, which the client then sends again; after
     * an orderly close the client would assume that the command was received, and the command would be lost.
     */
    private void closeIfIdle() {
        if (isIdle()) {
            resetUnlessInputPending(CloseReason.IDLE);
        }
    }

    /** Closes an idle connection at the end of the process: in order if a reset could drop responses. */
    void endIfIdle() {
        if (awaitsDelivery(clients.now())) {
            owner.closeBetweenCommands();
        } else {
            closeIfIdle();
        }
    }

    /** Closes the connection by a reset, unless unread input has arrived. */
    void resetUnlessInputPending(CloseReason reason) {
        if (!connection.readAvailable()) {
            connection.reset();
            owner.close(reason);
        }
    }

    /** Closes the connection if the client reads its responses too slowly for the memory that they hold. */
    void closeIfSlow() {
        if (responses.isTooSlowUnderPressure(clients.now())) {
            owner.close(CloseReason.TAKES_NO_ANSWERS);
        }
    }

    /**
     * Closes the connection if the client reads no responses, has stalled within a command, or is idle.
     * Called periodically.
     */
    void closeIfInactive(boolean crowded) {
        long now = clients.now();
        responses.checkProgress(now);
        if (activity.isCommandStalled(now, commands.isReceivingUpload())) {
            endIncompleteCommand();
        } else if (responses.isStalled(now)) {
            owner.close(CloseReason.TAKES_NO_ANSWERS);
        } else if (activity.isIdleTimeoutExpired(now, crowded)) {
            closeIfIdle();
        }
    }

    /**
     * Ends an incomplete command whose rest is overdue. The command was never processed, but requests before
     * it were and still get their responses.
     */
    private void endIncompleteCommand() {
        if (responses.isIdle()) {
            owner.close(CloseReason.UNFINISHED_COMMAND);
        } else {
            activity.onNoPartialCommand();
            commands.abortUpload();
            owner.sendLastResponse("CLIENT_ERROR command not finished in time");
        }
    }
}
