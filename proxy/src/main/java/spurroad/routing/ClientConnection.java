package spurroad.routing;

import java.nio.ByteBuffer;
import spurroad.admission.EvictionPriority;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.MetaResponse;
import spurroad.transport.Connection;

/**
 * One connection of a client: answers its commands or admits them as requests, and closes the connection
 * where its place or its memory is needed or nothing more is to come. Commands come from
 * {@link CommandReader}, responses go out by {@link ResponseWriter}. A guest, for whom there was no place, is
 * rejected and closed. Used on the event loop only.
 */
final class ClientConnection
    implements
        Connection.Handler,
        ResponseWriter.Owner,
        CommandReader.Owner {
    private static final int MAX_PIPELINED_COMMANDS = 16; // taken and not answered
    /** Discarded while the last responses are to arrive. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    /** A client that has its next request waiting sends it within this time after a response. */
    private static final long NEXT_COMMAND_NANOS = 5_000_000L;
    private static final long LINGER_NANOS = 1_000_000_000L;
    /** A client that sends nonsense again at once costs others nothing. */
    private static final long FAULT_PAUSE_NANOS = 100_000_000L;

    private final ClientConnections clients;
    private final Connection connection;
    private final boolean guest;
    private final ClientActivity activity;
    private final CommandReader commands;
    private final ResponseWriter responses;
    private ClientConnectionState state = ClientConnectionState.OPEN;
    private int discardedBytes;

    ClientConnection(ClientConnections clients, Connection connection, boolean guest) {
        this.clients = clients;
        this.connection = connection;
        this.guest = guest;
        responses = new ResponseWriter(this, clients, connection);
        activity = new ClientActivity(guest, clients.now());
        commands = new CommandReader(this, clients, connection, activity);
    }

    @Override
    public String toString() {
        return "client=" + connection;
    }

    void open() {
        connection.open(this);
    }

    /** Reads the client's commands, and knows whether it is still connected. */
    CommandReader commands() {
        return commands;
    }

    /** Whether there was no place for it. */
    boolean isGuest() {
        return guest;
    }

    @Override
    public boolean isClosed() {
        return state == ClientConnectionState.CLOSED;
    }

    // ---- input

    @Override
    public void onConnected() {}

    @Override
    public void onRead(ByteBuffer bytes) {
        if (state.discardsInput()) {
            discard(bytes);
            return;
        }
        commands.onRead(bytes);
    }

    /** Input behind a fault is read, as a close upon unread bytes would overtake the responses before it. */
    private void discard(ByteBuffer bytes) {
        discardedBytes += bytes.remaining();
        if (discardedBytes <= MAX_DISCARDED_BYTES) {
            return;
        }
        if (responses.isIdle()) {
            close(CloseReason.SENT_BEHIND_A_FAULT);
        } else {
            connection.setReading(false); // until the requests before the fault have their responses
        }
    }

    @Override
    public boolean discardsInput() {
        return state.discardsInput();
    }

    @Override
    public boolean canTakeCommand() {
        return state == ClientConnectionState.OPEN && responses.size() < MAX_PIPELINED_COMMANDS;
    }

    @Override
    public boolean isFlooding() {
        return state.discardsInput() && discardedBytes > MAX_DISCARDED_BYTES;
    }

    @Override
    public void onClosed() {
        close(CloseReason.CLIENT_ENDED);
    }

    // ---- commands

    @Override
    public void onCommand(MetaCommand command, long uploadBytes, long arrivedAtNanos) {
        ResponseSlot slot = responses.append();
        slot.holdsUpload(uploadBytes);
        slot.response = switch (command.kind) {
            case INVALID -> command.unrecoverable ? rejectInput(slot, command.errorResponse)
                : pause(command.errorResponse);
            case READY -> MetaResponse.ready();
            default -> onRequest(slot, command, arrivedAtNanos);
        };
        responses.flush();
    }

    @Override
    public void onUploadFailed(String fault) {
        respondLast(fault);
    }

    /** Answers what can't be told apart from what follows it, as the last response. */
    private void respondLast(String fault) {
        ResponseSlot slot = responses.append();
        slot.response = rejectInput(slot, fault);
        responses.flush();
    }

    /** Answers a command that can't be used; no other is taken for a while. */
    private byte[] pause(String fault) {
        state = ClientConnectionState.PAUSED;
        clients.loop.schedule(FAULT_PAUSE_NANOS, this::onPauseEnd);
        return unusable(fault);
    }

    /** Answers what is no command, as the last response: nothing after it can be told apart. */
    private byte[] rejectInput(ResponseSlot slot, String fault) {
        slot.last = true;
        state = ClientConnectionState.REJECTING_INPUT;
        clients.loop.schedule(FAULT_PAUSE_NANOS, this::onPauseEnd);
        return unusable(fault);
    }

    private void onPauseEnd() {
        if (state == ClientConnectionState.PAUSED) {
            state = ClientConnectionState.OPEN;
        }
        commands.processCommands();
    }

    /** The response to a command that can't be used. */
    byte[] unusable(String fault) {
        clients.log.warn("command rejected", this + " reason=" + fault);
        return MetaResponse.encodeLine(fault);
    }

    private byte[] onRequest(ResponseSlot slot, MetaCommand command, long arrivedAtNanos) {
        int requestClass = clients.requestClass(command);
        int tenant = clients.tenant(command);
        String fault = clients.fault(command, requestClass, tenant);
        return fault != null ? pause(fault)
            : clients.intake.admit(this, slot, command, requestClass, tenant, arrivedAtNanos);
    }

    // ---- responses

    /** The one final response of a request, from the load balancer's thread by way of the loop. */
    void answer(ProxiedRequest request, byte[] response, OutcomeStatistics.End end,
                StreamedResponse streamed) {
        if (isClosed() && streamed != null) {
            streamed.abandon();
        }
        responses.respond(request, response, end, streamed);
        responses.flush();
        commands.processCommands();
    }

    @Override
    public void onDrained() {
        if (responses.onDrained()) {
            commands.processCommands();
        }
    }

    @Override
    public void onResponseWritten(ResponseSlot slot, long nowNanos) {
        activity.onResponseWritten(nowNanos);
        if (slot.last) {
            linger();
        } else if (guest || clients.isEnding()) {
            closeBetweenCommands();
        } else if (clients.isHandingOver()) {
            // not at once: a client that sends its next command on a response would cross each such close
            clients.loop.schedule(NEXT_COMMAND_NANOS, () -> {
                if (!isClosed() && quietSince() <= clients.now() - NEXT_COMMAND_NANOS) {
                    closeBetweenCommands();
                }
            });
        }
    }

    /** A reset inside the value tells the client that it is broken off. */
    @Override
    public void onStreamBroken() {
        connection.reset();
        close(CloseReason.VALUE_BROKEN_OFF);
    }

    // ---- the end

    private void closeBetweenCommands() {
        if (!isBetweenCommands()) {
            return;
        }
        boolean delivering = responses.isDelivering(clients.now());
        // a command that arrives after this look is lost: the end of the stream follows at once
        if (connection.readAvailable() || isClosed()) {
            return;
        }
        if (delivering) {
            linger();
        } else {
            close(CloseReason.AFTER_LAST_ANSWER);
        }
    }

    /**
     * Lets the last response arrive: a close while the client still sends would take back what it has not
     * got.
     */
    private void linger() {
        connection.shutdownOutput();
        state = ClientConnectionState.LINGERING;
        discardedBytes = 0;
        connection.setReading(true);
        clients.loop.schedule(LINGER_NANOS, () -> close(CloseReason.AFTER_LAST_ANSWER));
    }

    private void close(CloseReason reason) {
        if (isClosed()) {
            return;
        }
        state = ClientConnectionState.CLOSED;
        connection.close(); // before what takes time: the caller has just looked for an unread command
        clients.events.onClosed(reason);
        clients.rules.onClosed(reason, responses.awaitedResponses(), this);
        responses.close();
        commands.close();
        clients.onClosed(this);
    }

    private boolean isBetweenCommands() {
        return responses.isIdle() && commands.isBetweenCommands() && !state.discardsInput();
    }

    /** Since when nothing has passed on the connection, Unix nanoseconds. */
    long quietSince() {
        return activity.quietSince();
    }

    /**
     * Whether it stands between two commands; one that was just opened brings its first, which is not sent
     * again. Not while its client may still be taking a long response: a reset drops what the system has not
     * sent on yet (responses of up to 400 KB were cut off so on the day of four times the requests, some 14
     * ms after their clients' time was over, and their requests lost).
     */
    private boolean isIdle() {
        long now = clients.now();
        return isBetweenCommands() && !responses.isDelivering(now) && activity.isIdle(now);
    }

    /**
     * Closes it between two commands, unless one has just come. By a reset: one may still be on its way,
     * which the client has to send again; an ordered end would tell it that the command was taken (lost in
     * the first incident).
     */
    void closeIfIdle() {
        if (isIdle()) {
            giveWay(CloseReason.IDLE);
        }
    }

    private EvictionPriority evictionPriority() {
        if (!responses.isIdle() || state.discardsInput() || commands.isUploadWaitingForMemory()
            || responses.isDelivering(clients.now())) {
            return EvictionPriority.REQUEST_IN_FLIGHT;
        }
        if (!commands.isBetweenCommands()) {
            return EvictionPriority.PARTIAL_REQUEST;
        }
        return activity.hasResponded() ? EvictionPriority.IDLE : EvictionPriority.NEVER_USED;
    }

    /** How overdue it is to give up its place, as {@link EvictionPriority} has it. */
    double overdue() {
        return evictionPriority().overdue(clients.now() - quietSince());
    }

    /** Closes it by a reset, unless something has just come. */
    void giveWay(CloseReason reason) {
        if (!connection.readAvailable()) {
            connection.reset();
            close(reason);
        }
    }

    /** Closes it where the client takes its responses too slowly for the memory that they hold. */
    void closeIfSlow() {
        if (responses.isTooSlowUnderPressure(clients.now())) {
            close(CloseReason.TAKES_NO_ANSWERS);
        }
    }

    /** To be called now and then: closes it if it takes no responses, sends half a command, or is idle. */
    void tidy(boolean crowded) {
        long now = clients.now();
        responses.checkProgress(now);
        if (activity.isCommandStalled(now, commands.isReceivingUpload())) {
            endUnfinished();
        } else if (responses.isStalled(now)) {
            close(CloseReason.TAKES_NO_ANSWERS);
        } else if (activity.isIdleTimeoutOver(now, crowded)) {
            closeIfIdle();
        }
    }

    /** The rest of a command has not come for long: it was never taken, but requests before it were. */
    private void endUnfinished() {
        if (responses.isIdle()) {
            close(CloseReason.UNFINISHED_COMMAND);
        } else {
            activity.onNoPartialCommand();
            commands.abortUpload();
            respondLast("CLIENT_ERROR command not finished in time");
        }
    }
}
