package spurroad.program;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.Pipe;
import java.nio.charset.StandardCharsets;
import java.util.function.UnaryOperator;
import spurroad.transport.Connection;
import spurroad.transport.EventLoop;

/**
 * A client or an endpoint of the warm-up, connected by two pipes instead of a socket. Used only on the event
 * loop.
 */
final class InMemoryPeer implements Connection.Handler {
    private final Connection peerConnection;
    private final Connection proxyConnection;
    private final UnaryOperator<String> responder;

    /**
     * Opens the pipes and the connections at both ends.
     *
     * @param responder returns the peer's reply to a received message; null for no reply
     * @param onProxyClosed runs once the proxy's connection is closed
     */
    InMemoryPeer(EventLoop loop, UnaryOperator<String> responder, Runnable onProxyClosed) {
        this.responder = responder;
        try {
            Pipe toPeer = Pipe.open();
            Pipe fromPeer = Pipe.open();
            peerConnection = new Connection(loop, toPeer.source(), fromPeer.sink(), () -> {});
            peerConnection.open(this);
            proxyConnection = new Connection(loop, fromPeer.source(), toPeer.sink(), onProxyClosed);
        } catch (IOException e) {
            throw new UncheckedIOException("can't open a pipe for the warm-up", e);
        }
    }

    /** Returns the proxy's side of the connection, which the proxy has yet to open. */
    Connection proxyConnection() {
        return proxyConnection;
    }

    void send(String text) {
        peerConnection.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onConnected() {}

    /** Treats each read as one whole message, as messages of the warm-up are small. */
    @Override
    public void onRead(ByteBuffer bytes) {
        String response = responder.apply(StandardCharsets.ISO_8859_1.decode(bytes).toString());
        if (response != null) {
            send(response);
        }
    }

    @Override
    public void onDrained() {}

    @Override
    public void onClosed() {}
}
