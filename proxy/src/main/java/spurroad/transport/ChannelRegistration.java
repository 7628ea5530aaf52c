package spurroad.transport;

import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;

/**
 * Registers the channels of one connection with the selector of its event loop, and closes them.
 *
 * <p>A channel is closed only once the selector has let go of it. The kernel then decides between an orderly
 * end and, if input is unread, a reset, which tells the peer that its message was not read. Closing a
 * registered channel would shut down its output first, and so end the stream in order over unread input.
 *
 * <p>A registration can be suspended, so that a close that follows takes effect immediately. Event loop
 * thread only.
 */
final class ChannelRegistration {
    private final EventLoop loop;
    private final SelectableChannel source;
    private final SelectableChannel sink; // the same as the source if both are one socket
    private final EventLoop.ReadyHandler handler;
    private final Runnable onClosed;
    private SelectionKey readKey;
    private SelectionKey writeKey;
    private boolean suspended;
    private boolean readsOnceResumed;

    /**
     * Creates a registration that {@link #register} carries out.
     *
     * @param onClosed run once, after the operating system has freed the closed descriptors
     */
    ChannelRegistration(EventLoop loop, SelectableChannel source, SelectableChannel sink,
                        EventLoop.ReadyHandler handler, Runnable onClosed) {
        this.loop = loop;
        this.source = source;
        this.sink = sink;
        this.handler = handler;
        this.onClosed = onClosed;
    }

    /** Registers the channels; the given operations are those of the source. */
    void register(int operations) throws IOException {
        readKey = loop.register(source, operations, handler);
        writeKey = sink == source ? readKey : loop.register(sink, 0, handler);
    }

    /** Waits for input only, instead of the operations that were registered. */
    void onConnected() {
        readKey.interestOps(SelectionKey.OP_READ);
    }

    /** Returns whether the selector reports input. */
    boolean isReading() {
        return !suspended && readKey.isValid() && (readKey.interestOps() & SelectionKey.OP_READ) != 0;
    }

    /** Sets whether the selector reports input. Returns whether that has changed now. */
    boolean setReading(boolean enabled) {
        if (suspended) {
            readsOnceResumed = enabled;
            return false;
        }
        return readKey.isValid() && setInterest(readKey, SelectionKey.OP_READ, enabled);
    }

    /** Sets whether the selector reports that the sink accepts bytes; has no effect while suspended. */
    void setWriting(boolean enabled) {
        if (!suspended) {
            setInterest(writeKey, SelectionKey.OP_WRITE, enabled);
        }
    }

    /** Adds an operation to a key's interest set or removes it. Returns whether the set has changed. */
    private static boolean setInterest(SelectionKey key, int operation, boolean enabled) {
        int current = key.interestOps();
        int updated = enabled ? current | operation : current & ~operation;
        if (current == updated) {
            return false;
        }
        key.interestOps(updated);
        return true;
    }

    // ---- suspension and close

    /** Withdraws the channels from the selector, which lets go of them in one of its next selects. */
    void suspend() {
        readsOnceResumed = isReading();
        suspended = true;
        cancelKeys();
    }

    boolean isSuspended() {
        return suspended;
    }

    /** Registers suspended channels again. The selector must have let go of them. */
    void resume() throws IOException {
        suspended = false;
        register(readsOnceResumed ? SelectionKey.OP_READ : 0);
    }

    /** Returns whether the selector has not let go of the channels yet. */
    boolean isRegistered() {
        return source.isRegistered() || sink.isRegistered();
    }

    /** Runs a task as soon as the selector has let go of the channels, but not before the next select. */
    void runWhenDeregistered(Runnable task) {
        loop.runAfterSelect(() -> {
            if (isRegistered()) {
                runWhenDeregistered(task);
            } else {
                task.run();
            }
        });
    }

    /** Closes the channels: immediately if the selector has let go of them, otherwise as soon as it has. */
    void close() {
        if (isRegistered()) {
            cancelKeys();
            runWhenDeregistered(this::closeChannels);
        } else {
            closeChannels();
        }
    }

    private void cancelKeys() {
        if (readKey != null) {
            readKey.cancel();
        }
        if (writeKey != null) {
            writeKey.cancel();
        }
    }

    private void closeChannels() {
        try {
            source.close();
            sink.close();
        } catch (IOException e) {
            // the descriptors are released nevertheless
        }
        loop.execute(onClosed); // not here: whoever closes may be acquiring a permit
    }
}
