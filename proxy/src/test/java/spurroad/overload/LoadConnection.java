package spurroad.overload;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import spurroad.protocol.ByteSource;
import spurroad.transport.Connection;

/** A client's connection to the proxy, used by one {@link LoadRequest} at a time. */
final class LoadConnection implements Connection.Handler {
    private static final String VALUE = "VA ";
    private static final String REJECTION = "SERVER_ERROR busy";
    private static final int RETRY_AFTER_FIELD = 2;
    private static final int MAX_LINE_BYTES = 4096;

    private final LoadGenerator generator;
    private final ByteSource in = new ByteSource();
    private Connection connection;
    private LoadRequest request;

    LoadConnection(LoadGenerator generator) {
        this.generator = generator;
    }

    /** Sends an attempt, once the connection is established. */
    void send(LoadRequest next) {
        request = next;
        if (connection == null) {
            open();
        } else {
            writeCommand();
        }
    }

    private void open() {
        try {
            SocketChannel channel = SocketChannel.open();
            connection = new Connection(generator.loop(), channel, channel, generator::onConnectionClosed);
            connection.connect(generator.proxy(), this);
        } catch (IOException e) {
            throw new UncheckedIOException("no socket for a client", e);
        }
    }

    private void writeCommand() {
        connection.write(request.command().getBytes(StandardCharsets.ISO_8859_1));
    }

    boolean isClosed() {
        return connection.isClosed();
    }

    /** Closes the connection; its request no longer waits for the response. */
    void abandon() {
        request = null;
        connection.close();
    }

    @Override
    public void onConnected() {
        if (request != null) {
            writeCommand();
        }
    }

    @Override
    public void onRead(ByteBuffer bytes) {
        in.feed(bytes);
        try {
            for (String line = nextResponse(); line != null; line = nextResponse()) {
                onResponse(line);
            }
        } catch (IOException e) {
            connection.close();
        }
    }

    private String nextResponse() throws IOException {
        return in.mayHaveMessage() ? in.readMessage(LoadConnection::readResponse) : null;
    }

    /** Reads a response, drops its value and returns its first line. */
    private static String readResponse(ByteSource in) throws IOException {
        String line = in.readLine(MAX_LINE_BYTES);
        if (line.startsWith(VALUE)) {
            byte[] value = new byte[Integer.parseInt(line.split(" ")[1])];
            in.readFully(value, 0, value.length);
            in.readLineEnd();
        }
        return line;
    }

    private void onResponse(String line) {
        LoadRequest answered = request;
        request = null;
        generator.releaseConnection(this);
        if (answered == null) {
            return;
        }
        if (line.startsWith(VALUE)) {
            answered.onServed();
        } else if (line.startsWith(REJECTION)) {
            String[] fields = line.split(" ");
            answered
                .onRejected(
                    fields.length > RETRY_AFTER_FIELD ? Long.parseLong(fields[RETRY_AFTER_FIELD]) : 0);
        } else {
            answered.onFailed();
        }
    }

    @Override
    public void onDrained() {}

    @Override
    public void onClosed() {
        LoadRequest disconnected = request;
        request = null;
        if (disconnected != null) {
            disconnected.onDisconnected(in.available() > 0);
        }
    }
}
