package spurroad.overload;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import spurroad.protocol.ByteSource;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.MetaResponse;
import spurroad.transport.Connection;

/**
 * A proxy's connection to a {@link FakeEndpoint}. Responses are written as requests are served, which keeps
 * their order because a proxy sends one request at a time on a connection.
 */
final class FakeEndpointConnection implements Connection.Handler {
    private static final int SMALL_VALUE_BYTES = 500;
    private static final int LARGE_VALUE_BYTES = 200 * 1024;
    private static final int MAX_HEADER_LINE_BYTES = 8192;
    private static final String CONTENT_LENGTH = "Content-Length: ";
    private static final byte[] CRLF = ascii("\r\n");
    private static final byte[] SMALL_VALUE = value(SMALL_VALUE_BYTES);
    private static final byte[] LARGE_VALUE = value(LARGE_VALUE_BYTES);
    private static final byte[] ORIGIN_REJECTION = ascii(
        "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");

    private final FakeEndpoint endpoint;
    private final FakeEndpoint.Role role;
    private final Connection connection;
    private final ByteSource in = new ByteSource();

    FakeEndpointConnection(FakeEndpoint endpoint, FakeEndpoint.Role role, Connection connection) {
        this.endpoint = endpoint;
        this.role = role;
        this.connection = connection;
    }

    @Override
    public void onConnected() {}

    @Override
    public void onRead(ByteBuffer bytes) {
        in.feed(bytes);
        try {
            boolean complete = true;
            while (complete && in.mayHaveMessage()) {
                complete = role == FakeEndpoint.Role.ORIGIN ? readHttpRequest() : readCommand();
            }
        } catch (IOException e) {
            connection.close();
        }
    }

    /**
     * Handles the next command of a cache node; a command other than a read or write is a load probe.
     *
     * @return whether a complete command was available
     */
    private boolean readCommand() throws IOException {
        MetaCommand command = in.readMessage(MetaCommand::read);
        if (command == null) {
            return false;
        }
        if (command.kind == MetaCommand.Kind.INVALID) {
            connection.write(MetaResponse.encodeLine("STAT inflight " + endpoint.inFlight() + "\r\nEND"));
        } else if (!endpoint.tryServe(() -> connection.write(cacheResponse(command)))) {
            connection.write(MetaResponse.rejected(0));
        }
        return true;
    }

    private byte[] cacheResponse(MetaCommand command) {
        String loadReport = " Linflight=" + endpoint.inFlight();
        if (endpoint.drawMiss()) {
            return MetaResponse.encodeLine("EN O" + command.id() + loadReport);
        }
        byte[] value = drawValue();
        byte[] head = MetaResponse.encodeLine("VA " + value.length + " O" + command.id() + loadReport);
        return concat(head, value, CRLF);
    }

    /**
     * Handles the next request of an origin.
     *
     * @return whether a complete request was available
     */
    private boolean readHttpRequest() throws IOException {
        if (in.readMessage(FakeEndpointConnection::skipHttpRequest) == null) {
            return false;
        }
        if (!endpoint.tryServe(() -> connection.write(originResponse()))) {
            connection.write(ORIGIN_REJECTION);
        }
        return true;
    }

    private byte[] originResponse() {
        byte[] value = drawValue();
        return concat(ascii("HTTP/1.1 200 OK\r\n" + CONTENT_LENGTH + value.length + "\r\n\r\n"), value);
    }

    /** Reads a request and returns its body. */
    private static byte[] skipHttpRequest(ByteSource in) throws IOException {
        int length = 0;
        String line = in.readLine(MAX_HEADER_LINE_BYTES);
        while (!line.isEmpty()) {
            if (line.startsWith(CONTENT_LENGTH)) {
                length = Integer.parseInt(line.substring(CONTENT_LENGTH.length()));
            }
            line = in.readLine(MAX_HEADER_LINE_BYTES);
        }
        byte[] body = new byte[length];
        in.readFully(body, 0, length);
        return body;
    }

    private byte[] drawValue() {
        return endpoint.drawLargeValue() ? LARGE_VALUE : SMALL_VALUE;
    }

    private static byte[] value(int bytes) {
        byte[] value = new byte[bytes];
        Arrays.fill(value, (byte) 'v');
        return value;
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] concat(byte[]... parts) {
        ByteBuffer all = ByteBuffer.allocate(Arrays.stream(parts).mapToInt(part -> part.length).sum());
        for (byte[] part : parts) {
            all.put(part);
        }
        return all.array();
    }

    @Override
    public void onDrained() {}

    @Override
    public void onClosed() {}
}
