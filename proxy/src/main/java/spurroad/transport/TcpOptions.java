package spurroad.transport;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.Channel;
import java.nio.channels.SocketChannel;

/** Sets TCP options of channels; channels that stand in for a socket have none. */
final class TcpOptions {
    private TcpOptions() {}

    /** Has the kernel hold nothing back until more is written (TCP_NODELAY, against Nagle's algorithm). */
    static void sendImmediately(Channel channel) throws IOException {
        if (channel instanceof SocketChannel socket) {
            socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
        }
    }

    /** Limits, approximately, how many sent bytes the kernel buffers for a slow peer (SO_SNDBUF). */
    static void limitSendBuffer(Channel channel, int bytes) {
        if (channel instanceof SocketChannel socket) {
            try {
                socket.setOption(StandardSocketOptions.SO_SNDBUF, bytes);
            } catch (IOException e) {
                // the socket is closed or broken, which its next write reports
            }
        }
    }

    /** Has the next close reset the connection (SO_LINGER with a timeout of zero). */
    static void resetOnClose(Channel channel) throws IOException {
        if (channel instanceof SocketChannel socket) {
            socket.setOption(StandardSocketOptions.SO_LINGER, 0);
        }
    }
}
