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
     * @param placeBack releases the descriptor; called once the connection is closed
     */
    Connection socket(EventLoop loop, Runnable placeBack) throws IOException;

    /** Creates TCP sockets. */
    SocketFactory TCP = (loop, placeBack) -> {
        SocketChannel socket = SocketChannel.open();
        return new Connection(loop, socket, socket, placeBack);
    };
}
