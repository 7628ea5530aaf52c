package spurroad.routing;

import java.io.IOException;
import java.nio.ByteBuffer;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.ProtocolException;
import spurroad.transport.Connection;
import spurroad.transport.EventLoop;

/**
 * Reads commands and uploads from a client's connection, as many as may wait for their responses; further
 * input waits with the client. Meanwhile {@link DisconnectDetector} looks for the client's disconnect. Used
 * on the event loop only.
 */
final class CommandReader implements DisconnectDetector.Owner {
    /** The connection that the commands are for. */
    interface Owner {
        /** Whether this side has closed the connection. */
        boolean isClosed();

        /** Whether another command may be taken now. */
        boolean canTakeCommand();

        /** Whether input is to be read and discarded. */
        boolean discardsInput();

        /** Whether more input is discarded than is read, so that an end behind it would not be seen. */
        boolean isFlooding();

        /** The client has disconnected, or sends what will never be a command. */
        void onClosed();

        /** A command is complete; the bytes reserved for its long value are the owner's from now on. */
        void onCommand(MetaCommand command, long uploadBytes, long arrivedAtNanos);

        /** An upload is malformed: what follows can't be told apart from it. */
        void onUploadFailed(String fault);
    }

    /** Commands taken at once: a client that sends hundreds holds up nobody. */
    private static final int MAX_COMMANDS_PER_TURN = 16;
    private static final long UPLOAD_RETRY_NANOS = 20_000_000L; // between attempts to reserve memory

    private final Owner owner;
    private final Connection connection;
    private final EventLoop loop;
    private final ClientActivity activity;
    private final ReadAheadBuffer buffer;
    private final DisconnectDetector disconnects;
    private final UploadReceiver upload;
    private boolean processingScheduled;

    CommandReader(Owner owner, ClientConnections clients, Connection connection, ClientActivity activity) {
        this.owner = owner;
        this.connection = connection;
        this.activity = activity;
        loop = clients.loop;
        buffer = new ReadAheadBuffer(clients.readAheadMemory);
        disconnects = new DisconnectDetector(this, connection, buffer, loop);
        upload = new UploadReceiver(clients.uploadMemory);
    }

    // ---- state

    /** Whether no part of a command is there, and no upload is under way. */
    boolean isBetweenCommands() {
        return buffer.isEmpty() && !upload.isActive();
    }

    boolean isUploadWaitingForMemory() {
        return upload.isWaitingForMemory();
    }

    boolean isReceivingUpload() {
        return upload.isReceiving();
    }

    /** Whether the client has disconnected: to be asked before an attempt for it begins. */
    boolean hasDisconnected() {
        return disconnects.hasDisconnected();
    }

    /** Looks now whether the client is still connected. */
    boolean isStillConnected() {
        return disconnects.checkConnected();
    }

    /** Whether everything that arrived has been read, so that a disconnect behind it would be seen. */
    boolean hasReadAll() {
        return disconnects.hasReadAll();
    }

    /** Gives up the upload that is under way, if there is one. */
    void abortUpload() {
        upload.abort();
    }

    /** Gives back all memory: the connection is closed. */
    void close() {
        upload.abort();
        buffer.releaseAll();
    }

    // ---- for the disconnect detector

    @Override
    public boolean isClosed() {
        return owner.isClosed();
    }

    @Override
    public boolean isFlooding() {
        return owner.isFlooding();
    }

    @Override
    public boolean canReadAhead() {
        return !upload.isReceiving();
    }

    @Override
    public void onClosed() {
        owner.onClosed();
    }

    // ---- commands

    /** Takes what was read from the connection. */
    void onRead(ByteBuffer bytes) {
        activity.onRead(loop.now());
        disconnects.onRead(bytes.remaining());
        if (upload.isActive()) {
            // all of them: what follows may read on, into the same buffer
            onUploadBytes(bytes, connection.earliestArrivalNanos());
        } else if (!isClosed()) {
            buffer.append(bytes, connection.earliestArrivalNanos());
            if (!disconnects.isReadingAhead()) {
                processCommands();
            }
        }
    }

    /** Takes the commands that are complete, as many as may wait for their responses. */
    void processCommands() {
        int taken = 0;
        while (owner.canTakeCommand() && !upload.isActive() && buffer.isWorthParsing()) {
            if (taken++ == MAX_COMMANDS_PER_TURN) {
                scheduleProcessing();
                break;
            }
            MetaCommand command = nextCommand();
            if (command == null) {
                break;
            }
            if (command.hasLongValue()) {
                beginUpload(new UploadBuffer(command));
            } else {
                owner.onCommand(command, 0, buffer.commandArrivedAtNanos());
            }
        }
        buffer.releaseUnneeded();
        if (!isClosed()) {
            readOrWait();
        }
    }

    /** The next command; null where it is not complete, or the connection was closed. */
    private MetaCommand nextCommand() {
        try {
            MetaCommand command = buffer.nextCommand();
            if (command != null) {
                activity.onNoPartialCommand();
            }
            return command;
        } catch (IOException e) {
            owner.onClosed();
            return null;
        }
    }

    /** Reads on where another command can be taken; otherwise further input waits with the client. */
    private void readOrWait() {
        boolean takesCommands = owner.canTakeCommand() && !processingScheduled
            && !upload.isWaitingForMemory();
        if (takesCommands && !buffer.isEmpty()) {
            activity.onPartialCommand(loop.now());
        } else {
            activity.onNoPartialCommand();
        }
        setReading(takesCommands || owner.discardsInput());
    }

    private void setReading(boolean on) {
        connection.setReading(on);
        if (!on) {
            disconnects.scheduleCheck(); // else a disconnect would not be seen, and its requests would go on
        }
    }

    @Override
    public void scheduleProcessing() {
        if (!processingScheduled) {
            processingScheduled = true;
            loop.execute(() -> {
                processingScheduled = false;
                processCommands();
            });
        }
    }

    // ---- uploads

    private void beginUpload(UploadBuffer next) {
        if (!upload.tryBegin(next)) {
            setReading(false);
            loop.schedule(UPLOAD_RETRY_NANOS, () -> {
                if (!isClosed()) {
                    beginUpload(next);
                }
            });
            return;
        }
        setReading(true);
        activity.onRead(loop.now()); // the client could not send until now
        if (!buffer.isEmpty()) {
            long arrivedAtNanos = buffer.earliestArrivalNanos();
            onUploadBytes(ByteBuffer.wrap(buffer.takeAll()), arrivedAtNanos);
        }
    }

    private void onUploadBytes(ByteBuffer bytes, long arrivedAtNanos) {
        if (upload.isWaitingForMemory()) {
            buffer.append(bytes, arrivedAtNanos);
            return;
        }
        try {
            if (upload.receive(bytes)) {
                completeUpload(bytes, arrivedAtNanos);
            }
        } catch (ProtocolException e) {
            upload.abort();
            owner.onUploadFailed(e.getMessage());
        }
    }

    private void completeUpload(ByteBuffer rest, long arrivedAtNanos) {
        MetaCommand command = upload.command();
        long reservedBytes = upload.finish();
        if (rest.hasRemaining()) {
            buffer.append(rest, arrivedAtNanos);
        }
        // the client may have disconnected long ago, while there was no memory
        if (disconnects.checkConnected()) {
            owner.onCommand(command, reservedBytes, arrivedAtNanos);
            processCommands();
        } else {
            upload.release(reservedBytes);
        }
    }
}
