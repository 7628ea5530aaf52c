package spurroad.routing;

import java.io.IOException;
import java.nio.ByteBuffer;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.ProtocolException;
import spurroad.transport.Connection;
import spurroad.transport.EventLoop;
import spurroad.transport.GrowthBudget;

/**
 * Reads commands and uploads from a client connection, up to the limit of pipelined commands; further input
 * is left in the socket. Meanwhile {@link DisconnectDetector} checks for the client's disconnect. Used on the
 * event loop only.
 */
final class CommandReader implements DisconnectDetector.Owner {
    /** Connection that receives the commands. */
    interface Owner {
        /** Returns whether this side has closed the connection. */
        boolean isClosed();

        /** Returns whether another command may be processed now. */
        boolean canTakeCommand();

        /** Returns whether input is to be read and discarded. */
        boolean discardsInput();

        /**
         * Returns whether the limit of discarded input is exceeded: reading stops there, so a later
         * disconnect would not be seen.
         */
        boolean exceedsDiscardLimit();

        /** Called when the client has disconnected, or sends input that can never become a command. */
        void onClosed();

        /**
         * Called for each complete command; the owner releases the memory of its long value, which is null if
         * it has none.
         */
        void onCommand(MetaCommand command, GrowthBudget.Reservation uploadMemory, long arrivedAtNanos);

        /** Called when there was no memory for an upload for so long that the write can't be served. */
        void onUploadGivenUp(MetaCommand command);

        /** Called when the rest of an upload that was given up has arrived and was discarded. */
        void onUploadDiscarded();

        /** Called when an upload is malformed, so that the input after it can't be parsed. */
        void onUploadFailed(String fault);
    }

    /**
     * Maximum commands processed in one turn, so that a client that sends hundreds does not delay other
     * clients.
     */
    private static final int MAX_COMMANDS_PER_TURN = 16;
    /** Divisor of a client's timeout: the quotient is how long its upload may wait for memory. */
    private static final int UPLOAD_WAIT_DIVISOR = 2;
    /** Bytes that a read may always bring: what has no memory then is kept in the read-ahead buffer. */
    private static final int MIN_READ_BYTES = 4 * 1024;
    /** Bytes that a read may bring if they are discarded. */
    private static final int MAX_READ_BYTES = 64 * 1024;

    private final Owner owner;
    private final ClientConnections clients;
    private final Connection connection;
    private final EventLoop loop;
    private final ClientActivity activity;
    private final ReadAheadBuffer buffer;
    private final DisconnectDetector disconnects;
    private final UploadReceiver upload;
    private EventLoop.Timer uploadTimeout; // while an upload waits for memory
    private boolean processing;
    private boolean processingScheduled;

    CommandReader(Owner owner, ClientConnections clients, Connection connection, ClientActivity activity) {
        this.owner = owner;
        this.clients = clients;
        this.connection = connection;
        this.activity = activity;
        loop = clients.loop;
        buffer = new ReadAheadBuffer(clients.readAheadMemory);
        disconnects = new DisconnectDetector(this, connection, buffer, loop);
        upload = new UploadReceiver(clients.uploadMemory);
        connection.setMaxReadBytes(ReadAheadBuffer.CHUNK_BYTES);
    }

    // ---- state

    /** Returns whether no input is buffered and no upload is under way. */
    boolean isBetweenCommands() {
        return buffer.isEmpty() && !upload.isActive();
    }

    boolean isUploadWaitingForMemory() {
        return upload.isWaitingForMemory();
    }

    boolean isReceivingUpload() {
        return upload.isReceiving();
    }

    /** Returns whether the client has disconnected; called before an attempt for it begins. */
    boolean hasDisconnected() {
        return disconnects.hasDisconnected();
    }

    /** Checks now whether the client is still connected. */
    boolean isStillConnected() {
        return disconnects.checkConnected();
    }

    /** Returns whether all input that arrived has been read, so that a disconnect after it would be seen. */
    boolean hasReadAll() {
        return disconnects.hasReadAll();
    }

    /** Aborts the upload under way, if there is one. */
    void abortUpload() {
        endUpload();
    }

    /** Releases all memory after the connection was closed. */
    void close() {
        endUpload();
        buffer.releaseAll();
    }

    // ---- for the disconnect detector

    @Override
    public boolean isClosed() {
        return owner.isClosed();
    }

    @Override
    public boolean exceedsDiscardLimit() {
        return owner.exceedsDiscardLimit();
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

    /** Processes bytes that were read from the connection. */
    void onRead(ByteBuffer bytes) {
        activity.onRead(loop.now());
        disconnects.onRead(connection.lastReadMayHaveLeftBytes());
        if (upload.isActive()) {
            // all bytes at once: the processing that follows may read more into the same buffer
            onUploadBytes(bytes, connection.earliestArrivalNanos());
        } else if (!isClosed()) {
            buffer.append(bytes, connection.earliestArrivalNanos());
            if (!disconnects.isReadingAhead()) {
                processCommands();
            }
        }
    }

    /** Processes the complete commands, up to the limit of pipelined commands. */
    void processCommands() {
        if (processing) {
            return; // a command that was just processed was an upload, and the loop below goes on
        }
        processing = true;
        processBufferedCommands();
        processing = false;
        buffer.releaseUnneeded();
        if (!isClosed()) {
            readOrWait();
        }
    }

    private void processBufferedCommands() {
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
                beginUpload(command);
            } else {
                owner.onCommand(command, null, buffer.commandArrivedAtNanos());
            }
        }
    }

    /** Returns the next command; null if it is incomplete or the connection was closed. */
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

    /** Enables reading if another command can be processed; otherwise further input is left in the socket. */
    private void readOrWait() {
        boolean takesCommands = owner.canTakeCommand() && !processingScheduled
            && !upload.isWaitingForMemory();
        if (takesCommands && (!buffer.isEmpty() || isReceivingShortValue())) {
            activity.onPartialCommand(loop.now());
        } else {
            activity.onNoPartialCommand();
        }
        if (!upload.isActive()) {
            connection.setMaxReadBytes(owner.discardsInput() ? MAX_READ_BYTES : MIN_READ_BYTES);
        }
        setReading(takesCommands || owner.discardsInput());
    }

    /** Returns whether a value is being received whose command has to arrive within a time in all. */
    private boolean isReceivingShortValue() {
        return upload.isReceiving()
            && upload.command().valueLength() <= MetaCommand.MAX_BUFFERED_VALUE_BYTES;
    }

    private void setReading(boolean on) {
        connection.setReading(on);
        if (!on) {
            disconnects.scheduleCheck(); // otherwise a disconnect is not seen, and the requests continue
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

    private void beginUpload(MetaCommand command) {
        upload.begin(command, maxUploadWaitNanos(command));
        continueUpload();
    }

    /**
     * Returns half of the client's timeout. While an upload waits, its last byte may already be in the
     * socket, and the request has to be answered in time, or served in what is left.
     */
    private long maxUploadWaitNanos(MetaCommand command) {
        long now = loop.now();
        return (clients.deadlineNanos(now, command.timeoutMillis()) - now) / UPLOAD_WAIT_DIVISOR;
    }

    /** Takes what is buffered of the value, and reads more. */
    private void continueUpload() {
        activity.onRead(loop.now()); // the client could not send until now
        setReading(true);
        boolean needsBytes = true;
        while (needsBytes && !buffer.isEmpty()) {
            needsBytes = takeBufferedValueBytes();
        }
    }

    /** Takes the first buffered bytes of the value; returns whether the value needs more bytes. */
    private boolean takeBufferedValueBytes() {
        ByteBuffer bytes = buffer.peek();
        int available = bytes.remaining();
        UploadBuffer.Progress progress = receiveValueBytes(bytes);
        if (progress == null) {
            return false;
        }
        long arrivedAtNanos = buffer.skip(available - bytes.remaining());
        onUploadProgress(progress, arrivedAtNanos);
        return progress == UploadBuffer.Progress.BYTES_NEEDED;
    }

    private void onUploadBytes(ByteBuffer bytes, long arrivedAtNanos) {
        UploadBuffer.Progress progress = upload.isWaitingForMemory() ? null : receiveValueBytes(bytes);
        if (bytes.hasRemaining() && !isClosed()) {
            buffer.append(bytes, arrivedAtNanos); // the rest of the value, or what follows it
        }
        if (progress != null) {
            onUploadProgress(progress, arrivedAtNanos);
        }
    }

    /** Passes bytes to the value as far as there is memory; returns null if the value was malformed. */
    private UploadBuffer.Progress receiveValueBytes(ByteBuffer bytes) {
        try {
            return upload.receive(bytes);
        } catch (ProtocolException e) {
            endUpload();
            owner.onUploadFailed(e.getMessage());
            bytes.position(bytes.limit());
            return null;
        }
    }

    private void onUploadProgress(UploadBuffer.Progress progress, long arrivedAtNanos) {
        switch (progress) {
            case COMPLETE -> completeUpload(arrivedAtNanos);
            case MEMORY_NEEDED -> awaitUploadMemory();
            case BYTES_NEEDED -> connection.setMaxReadBytes(uploadReadBytes());
        }
    }

    private int uploadReadBytes() {
        return upload.isDiscarding() ? MAX_READ_BYTES : Math.max(MIN_READ_BYTES, upload.freeBytes());
    }

    /** Leaves the rest of the value in the socket until there is memory for it, or the wait is too long. */
    private void awaitUploadMemory() {
        long maxWaitNanos = upload.awaitMemory(loop.now(), this::resumeUpload);
        uploadTimeout = loop.schedule(maxWaitNanos, this::giveUpUpload);
        setReading(false);
    }

    private void resumeUpload() {
        uploadTimeout.cancel();
        upload.resume(loop.now());
        continueUpload();
    }

    /** Answers a write for whose value there is no memory, and discards the rest of the value. */
    private void giveUpUpload() {
        upload.giveUp();
        owner.onUploadGivenUp(upload.command());
        if (!isClosed()) {
            connection.setMaxReadBytes(MAX_READ_BYTES);
            continueUpload();
        }
    }

    private void completeUpload(long arrivedAtNanos) {
        MetaCommand command = upload.command();
        if (upload.isDiscarding()) {
            upload.abort();
            if (command.kind == MetaCommand.Kind.INVALID) {
                owner.onCommand(command, null, arrivedAtNanos);
            } else {
                owner.onUploadDiscarded();
            }
            processCommands();
            return;
        }
        GrowthBudget.Reservation memory = upload.finish();
        // the client may have disconnected while the upload waited for memory
        if (disconnects.checkConnected()) {
            owner.onCommand(command, memory, arrivedAtNanos);
            processCommands();
        } else {
            memory.release();
        }
    }

    private void endUpload() {
        if (uploadTimeout != null) {
            uploadTimeout.cancel();
        }
        upload.abort();
    }
}
