package spurroad.routing;

import java.nio.ByteBuffer;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.MetaResponse;
import spurroad.transport.Connection;
import spurroad.transport.GrowthBudget;

/**
 * Connection of a client. Answers its commands or admits them as requests, and closes the connection if its
 * descriptor or memory is needed or no more commands are expected. {@link CommandReader} reads the commands,
 * responses are written by {@link ResponseWriter}. A guest, a client connection without a descriptor of its
 * own, is rejected and closed. Used on the event loop only.
 */
final class ClientConnection
    implements
        Connection.Handler,
        ResponseWriter.Owner,
        CommandReader.Owner {
    private static final int MAX_PIPELINED_COMMANDS = 16; // read and not answered yet
    /** Input that is discarded at most while the last responses are being delivered. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    /** A client whose next request is ready sends it within this time after a response. */
    private static final long NEXT_COMMAND_NANOS = 5_000_000L;
    private static final long LINGER_NANOS = 1_000_000_000L;
    /**
     * Pause after an invalid command, so that a client that repeats invalid commands costs other clients
     * nothing.
     */
    private static final long ERROR_PAUSE_NANOS = 100_000_000L;

    private final ClientConnections clients;
    private final Connection connection;
    private final boolean guest;
    private final ClientActivity activity;
    private final CommandReader commands;
    private final ResponseWriter responses;
    private final CommandRateLimiter rate = new CommandRateLimiter();
    private final ClientInactivity inactivity;
    private ClientConnectionState state = ClientConnectionState.OPEN;
    private int discardedBytes;
    private boolean heldBack; // until the rate of its commands allows another

    ClientConnection(ClientConnections clients, Connection connection, boolean guest) {
        this.clients = clients;
        this.connection = connection;
        this.guest = guest;
        responses = new ResponseWriter(this, clients, connection);
        activity = new ClientActivity(guest, clients.now());
        commands = new CommandReader(this, clients, connection, activity);
        inactivity = new ClientInactivity(this, clients, connection, commands, responses, activity);
    }

    @Override
    public String toString() {
        return "client=" + connection;
    }

    void open() {
        connection.open(this);
    }

    /**
     * Returns the reader of the client's commands, which also knows whether the client is still connected.
     */
    CommandReader commands() {
        return commands;
    }

    /** Returns what closes the connection if its client is inactive. */
    ClientInactivity inactivity() {
        return inactivity;
    }

    /** Returns whether this connection has no descriptor of its own. */
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

    /**
     * Discards input after a protocol error. It is read because closing a socket with unread input sends a
     * reset, which can overtake the responses before the error.
     */
    private void discard(ByteBuffer bytes) {
        discardedBytes += bytes.remaining();
        if (discardedBytes <= MAX_DISCARDED_BYTES) {
            return;
        }
        if (responses.isIdle()) {
            close(CloseReason.SENT_BEHIND_A_FAULT);
        } else {
            connection.setReading(false); // until the requests before the error have their responses
        }
    }

    @Override
    public boolean discardsInput() {
        return state.discardsInput();
    }

    /** No command is taken behind a value that may break off: the connection would be reset over it. */
    @Override
    public boolean canTakeCommand() {
        return state == ClientConnectionState.OPEN && !heldBack && responses.size() < MAX_PIPELINED_COMMANDS
            && !responses.hasBreakableValue();
    }

    @Override
    public boolean exceedsDiscardLimit() {
        return state.discardsInput() && discardedBytes > MAX_DISCARDED_BYTES;
    }

    @Override
    public void onClosed() {
        close(CloseReason.CLIENT_ENDED);
    }

    // ---- commands

    @Override
    public void onCommand(MetaCommand command, GrowthBudget.Reservation uploadMemory, long arrivedAtNanos) {
        ResponseSlot slot = responses.append();
        slot.setUploadMemory(uploadMemory);
        slot.response = switch (command.kind) {
            case INVALID ->
                command.unrecoverable ? rejectMalformedInput(slot, command.errorResponse)
                    : pauseAfterError(command.errorResponse);
            case READY -> MetaResponse.ready();
            default -> onRequest(slot, command, arrivedAtNanos);
        };
        limitRate(slot.response != null);
        responses.flush();
    }

    /**
     * Holds back a client whose commands would take the processor time of others: commands that are answered
     * at once follow each other as fast as they are sent.
     */
    private void limitRate(boolean answeredAtOnce) {
        long now = clients.now();
        boolean counts = answeredAtOnce || clients.admission.lacksCapacity();
        if (!counts || !clients.limitsRates()) {
            return;
        }
        rate.onCommand(now);
        if (!heldBack && rate.isExhausted(now)) {
            heldBack = true;
            clients.log.warn("client sends commands too fast, held back", this);
            clients.events.onHeldBack();
            clients.loop.schedule(rate.pauseNanos(now), this::resumeHeldBack);
        }
    }

    private void resumeHeldBack() {
        heldBack = false;
        if (!isClosed()) {
            commands.processCommands();
        }
    }

    @Override
    public void onUploadGivenUp(MetaCommand command) {
        ResponseSlot slot = responses.append();
        int requestClass = clients.requestClass(command);
        String fault = clients.commandError(command, requestClass, clients.tenant(command));
        slot.response = fault != null ? pauseAfterError(fault)
            : clients.intake.rejectWithoutMemory(this, slot, requestClass);
        responses.flush();
    }

    /** Closes as after a response: the one to this upload was written before the upload had ended. */
    @Override
    public void onUploadDiscarded() {
        if (guest || clients.isShuttingDown()) {
            closeBetweenCommands();
        }
    }

    @Override
    public void onUploadFailed(String fault) {
        sendLastResponse(fault);
    }

    /** Sends an error as the last response, as the end of the malformed input can't be found. */
    void sendLastResponse(String fault) {
        ResponseSlot slot = responses.append();
        slot.response = rejectMalformedInput(slot, fault);
        responses.flush();
    }

    /** Returns the response to an unusable command, and processes no other command for a while. */
    private byte[] pauseAfterError(String fault) {
        state = ClientConnectionState.PAUSED;
        clients.loop.schedule(ERROR_PAUSE_NANOS, this::resumeAfterPause);
        return rejectCommand(fault);
    }

    /**
     * Returns the last response of the connection: no command can be found in the input after malformed
     * input.
     */
    private byte[] rejectMalformedInput(ResponseSlot slot, String fault) {
        slot.last = true;
        state = ClientConnectionState.REJECTING_INPUT;
        clients.loop.schedule(ERROR_PAUSE_NANOS, this::resumeAfterPause);
        return rejectCommand(fault);
    }

    private void resumeAfterPause() {
        if (state == ClientConnectionState.PAUSED) {
            state = ClientConnectionState.OPEN;
        }
        commands.processCommands();
    }

    /** Logs an unusable command and returns the response to it. */
    byte[] rejectCommand(String fault) {
        clients.log.warn("command rejected", this + " reason=" + fault);
        return MetaResponse.encodeLine(fault);
    }

    private byte[] onRequest(ResponseSlot slot, MetaCommand command, long arrivedAtNanos) {
        int requestClass = clients.requestClass(command);
        int tenant = clients.tenant(command);
        String fault = clients.commandError(command, requestClass, tenant);
        return fault != null ? pauseAfterError(fault)
            : clients.intake.admit(this, slot, command, requestClass, tenant, arrivedAtNanos);
    }

    // ---- responses

    /**
     * Sends the only final response of a request; the load balancer's thread calls this through the event
     * loop.
     *
     * @param memory the memory that is reserved for the response; null if there is none
     */
    void answer(ProxiedRequest request, byte[] response, OutcomeStatistics.End end,
                LongResponse streamed, GrowthBudget.Reservation memory) {
        responses.respond(request, response, end, streamed, memory);
        responses.flush();
        commands.processCommands();
    }

    /** Returns whether all responses before the one to a request are written. */
    boolean isNextResponse(ProxiedRequest request) {
        return responses.isNext(request);
    }

    /** Returns whether the client has sent more commands after a request, answered or not. */
    boolean hasCommandsBehind(ProxiedRequest request) {
        return !responses.isLast(request) || !commands.isBetweenCommands();
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
        } else if (guest || clients.isShuttingDown()) {
            closeBetweenCommands();
        } else if (clients.isHandingOver()) {
            // delayed, as a client that sends its next command on each response would cross the close
            clients.loop.schedule(NEXT_COMMAND_NANOS, () -> {
                if (!isClosed() && activity.lastActivityNanos() <= clients.now() - NEXT_COMMAND_NANOS) {
                    closeBetweenCommands();
                }
            });
        }
    }

    /** Resets the connection: a reset inside the value tells the client that the value is incomplete. */
    @Override
    public void onStreamBroken() {
        connection.reset();
        close(CloseReason.VALUE_BROKEN_OFF);
    }

    // ---- closing

    /** Closes in order if no command is incomplete or awaits its response, unless input arrives. */
    void closeBetweenCommands() {
        if (!isBetweenCommands()) {
            return;
        }
        if (!responses.isDelivering(clients.now())) {
            connection.closeUnlessInputArrives(this::isBetweenCommands,
                () -> close(CloseReason.AFTER_LAST_ANSWER));
        } else if (!connection.readAvailable() && !isClosed()) {
            linger();
        }
    }

    /**
     * Closes after a delay, so that the last response is delivered: closing while the client is still sending
     * would discard data that the client has not received.
     */
    private void linger() {
        connection.shutdownOutput();
        state = ClientConnectionState.LINGERING;
        discardedBytes = 0;
        connection.setReading(true);
        clients.loop.schedule(LINGER_NANOS, () -> close(CloseReason.AFTER_LAST_ANSWER));
    }

    /** Closes the connection and abandons its requests; does nothing the second time. */
    void close(CloseReason reason) {
        if (isClosed()) {
            return;
        }
        state = ClientConnectionState.CLOSED;
        connection.close(); // first, before slower work: the caller has just checked for an unread command
        clients.events.onClosed(reason);
        clients.rules.onClosed(reason, responses.awaitedResponses(), this);
        responses.close();
        commands.close();
        clients.onClosed(this);
    }

    /** Returns whether no command is incomplete or awaits its response. */
    boolean isBetweenCommands() {
        return responses.isIdle() && commands.isBetweenCommands() && !state.discardsInput();
    }
}
