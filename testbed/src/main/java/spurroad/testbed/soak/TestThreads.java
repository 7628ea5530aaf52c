package spurroad.testbed.soak;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAccumulator;

/**
 * The daemon threads, with small stacks, on which the fake peers work their sockets. What they open is
 * registered, so that a run can close it at its end; only one run at a time is possible in a process.
 */
final class TestThreads {
    private static final long STACK_BYTES = 256 * 1024;
    private static final int BACKLOG = 512;

    /** A task that ends when its socket is closed. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    /** Handles an accepted connection. */
    interface ConnectionHandler {
        void handle(Socket socket) throws IOException, InterruptedException;
    }

    private static final LongAccumulator MAX_START_DELAY_NANOS = new LongAccumulator(Math::max, 0);
    private static final Set<Closeable> OPEN_SOCKETS = ConcurrentHashMap.newKeySet();

    private TestThreads() {}

    /** Closes all sockets that were opened here, which ends their threads. */
    static void closeAll() {
        OPEN_SOCKETS.forEach(Sockets::close);
        OPEN_SOCKETS.clear();
    }

    /** Returns how long an accepted connection waited for its thread at most, since the last call. */
    static long takeMaxStartDelayNanos() {
        return MAX_START_DELAY_NANOS.getThenReset();
    }

    /** Starts a task on a thread of its own; an I/O error ends the task. */
    static Thread start(String name, Task task) {
        Thread thread = new Thread(null, () -> run(task), name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void run(Task task) {
        try {
            task.run();
        } catch (IOException e) {
            // a peer, or the end of the run, has closed the socket
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Listens at a free loopback port, and handles each connection on a thread of its own. */
    static ServerSocket listen(String name, ConnectionHandler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        OPEN_SOCKETS.add(server);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        start(name, () -> {
            while (true) {
                Socket socket = server.accept();
                long acceptedAtNanos = System.nanoTime();
                start(name, () -> handle(socket, acceptedAtNanos, handler));
            }
        });
        return server;
    }

    private static void handle(Socket socket, long acceptedAtNanos, ConnectionHandler handler)
        throws IOException, InterruptedException {
        MAX_START_DELAY_NANOS.accumulate(System.nanoTime() - acceptedAtNanos);
        OPEN_SOCKETS.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            handler.handle(socket);
        } finally {
            OPEN_SOCKETS.remove(socket);
        }
    }
}
