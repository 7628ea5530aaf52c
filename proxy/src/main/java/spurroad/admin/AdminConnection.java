package spurroad.admin;

import java.io.IOException;
import java.nio.ByteBuffer;
import spurroad.admin.AdminResponse.Status;
import spurroad.protocol.ByteSource;
import spurroad.transport.Connection;
import spurroad.transport.EventLoop;

/** A connection to the admin server, which carries one request. Confined to the thread of its event loop. */
final class AdminConnection implements Connection.Handler, AdminResponder {
    private enum State {
        /** The request has not arrived completely. */
        READING,
        /** The request was read, or is malformed; the response is not available yet. */
        PROCESSING,
        /** The response is being sent. */
        RESPONDED, CLOSED
    }

    // a connection whose request has not arrived completely by then is closed without a response
    private static final long READ_TIMEOUT_NANOS = 2_000_000_000L;
    private static final long RESPONSE_TIMEOUT_NANOS = 800_000_000L; // a response is due within 1 s
    private static final long CLOSE_DELAY_NANOS = 500_000_000L; // lets the response arrive first

    private final AdminServer server;
    private final EventLoop loop;
    private final Connection connection;
    private final ByteSource in = new ByteSource();
    private final long openedAtNanos;
    private AdminResponse timeoutResponse = AdminResponse.rejected(Status.UNAVAILABLE,
        "not confirmed in time, call again");
    private State state = State.READING;
    private EventLoop.Timer timeout;

    AdminConnection(AdminServer server, EventLoop loop, Connection connection) {
        this.server = server;
        this.loop = loop;
        this.connection = connection;
        openedAtNanos = loop.now();
    }

    void open() {
        timeout = loop.schedule(READ_TIMEOUT_NANOS, this::close);
        connection.open(this);
    }

    /** Returns whether the connection has been open for longer than a time without a complete request. */
    boolean isAwaitingRequestLongerThan(long nanos) {
        return state == State.READING && loop.now() - openedAtNanos > nanos;
    }

    @Override
    public void onConnected() {}

    @Override
    public void onRead(ByteBuffer bytes) {
        if (state != State.READING) {
            bytes.position(bytes.limit()); // unread bytes at the close would discard the response
            return;
        }
        in.feed(bytes);
        try {
            AdminRequest request = in.readMessage(AdminRequest::read);
            if (request != null) {
                process(request);
            }
        } catch (IOException e) {
            state = State.PROCESSING;
            send(malformed(e));
        }
    }

    private void process(AdminRequest request) {
        state = State.PROCESSING;
        if (in.available() > 0) {
            send(AdminResponse.rejected(Status.BAD_REQUEST, "expected one call to a connection"));
            return;
        }
        timeout.cancel();
        timeout = loop.schedule(RESPONSE_TIMEOUT_NANOS, () -> send(timeoutResponse));
        server.handle(request, this);
    }

    @Override
    public void respond(AdminResponse response) {
        loop.execute(() -> send(response));
    }

    @Override
    public void setTimeoutResponse(AdminResponse response) {
        loop.execute(() -> timeoutResponse = response);
    }

    private static AdminResponse malformed(IOException e) {
        // a line that is too long differs from other malformed requests only in the exception message
        if (e.getMessage().startsWith("a line of over")) {
            return AdminResponse.rejected(Status.HEADER_TOO_LARGE,
                "expected lines of " + AdminRequest.MAX_LINE_BYTES + " bytes at most");
        }
        return AdminResponse.rejected(Status.BAD_REQUEST, e.getMessage());
    }

    /**
     * Sends the first response; later ones, such as that of a drain confirmed after the timeout, are ignored.
     */
    private void send(AdminResponse response) {
        if (state != State.PROCESSING) {
            return;
        }
        state = State.RESPONDED;
        timeout.cancel();
        connection.write(response.encode());
        if (connection.isDrained()) {
            connection.shutdownOutput();
        }
        timeout = loop.schedule(CLOSE_DELAY_NANOS, this::close);
    }

    @Override
    public void onDrained() {
        connection.shutdownOutput();
    }

    @Override
    public void onClosed() {
        close();
    }

    void close() {
        if (state == State.CLOSED) {
            return;
        }
        state = State.CLOSED;
        timeout.cancel();
        connection.close();
        server.onConnectionClosed(this);
    }
}
