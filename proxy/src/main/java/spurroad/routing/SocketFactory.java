package spurroad.routing;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import spurroad.transport.Connection;
import spurroad.transport.EventLoop;

/** Creates sockets to endpoints. */
public interface SocketFactory {
    /**
     * Creates an unconnected socket, or a connection to an in-memory peer.
     *
     * @param onClose releases the descriptor; called once the connection is closed
     */
    Connection socket(EventLoop loop, Runnable onClose) throws IOException;

    /** Creates TCP sockets. */
    SocketFactory TCP = (loop, onClose) -> {
        SocketChannel socket = SocketChannel.open();
        return new Connection(loop, socket, socket, onClose);
    };
}
