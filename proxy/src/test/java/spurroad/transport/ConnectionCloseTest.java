package spurroad.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What a peer sees when a connection is closed. */
public class ConnectionCloseTest {
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final String END = "end of stream";
    private static final String RESET = "reset";

    private final EventLog log = new EventLog();
    private EventLoop loop;
    private ServerSocketChannel server;
    private Socket client;
    private CountDownLatch released; // opened once the descriptor is released

    /** Sends back what it reads. */
    private static final class EchoHandler implements Connection.Handler {
        private Connection connection;

        @Override
        public void onConnected() {}

        @Override
        public void onRead(ByteBuffer bytes) {
            byte[] message = new byte[bytes.remaining()];
            bytes.get(message);
            connection.write(message);
        }

        @Override
        public void onDrained() {}

        @Override
        public void onClosed() {}
    }

    @BeforeMethod
    public void connect() throws IOException {
        loop = new EventLoop(log, new Clock());
        new Threads(log).start("loop", loop);
        server = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        client = new Socket(InetAddress.getLoopbackAddress(), server.socket().getLocalPort());
        released = new CountDownLatch(1);
        client.setSoTimeout(TIMEOUT_MILLIS);
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        client.close();
        server.close();
        loop.shutdown();
    }

    /** Whether a request arrives between the last read and the close, and what the client then sees. */
    @DataProvider
    Object[][] lateRequests() {
        return new Object[][] {{true, RESET}, {false, END}};
    }

    /**
     * Guards against an orderly end over a request that has arrived and was not read: its client can't tell
     * it from a request that was read and not answered.
     */
    @Test(dataProvider = "lateRequests", timeOut = 60_000)
    public void closesByResetOverUnreadInput(boolean requestArrives, String expected) throws Exception {
        CompletableFuture<Boolean> found = new CompletableFuture<>();
        Connection connection = open();
        loop.execute(() -> {
            found.complete(connection.readAvailable());
            if (requestArrives) {
                send("request");
            }
            connection.close();
        });
        assertEquals(found.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), Boolean.FALSE,
            "input before the close");
        assertEquals(endSeenByClient(), expected);
        assertTrue(released.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "descriptor not released");
    }

    @Test(timeOut = 60_000)
    public void closesIfNoInputArrives() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        Connection connection = open();
        loop.execute(() -> connection.closeUnlessInputArrives(() -> true, closed::countDown));
        assertEquals(endSeenByClient(), END);
        assertTrue(closed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "close not reported");
        assertTrue(released.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "descriptor not released");
    }

    /** Guards against losing a request that arrives while its connection is being closed. */
    @Test(timeOut = 60_000)
    public void staysOpenIfInputArrivesBeforeLastRead() throws Exception {
        Connection connection = open();
        for (int i = 0; i < 100; i++) {
            loop.execute(() -> connection.closeUnlessInputArrives(() -> {
                send("a");
                return true;
            }, () -> {}));
            assertEquals(client.getInputStream().read(), 'a');
            send("b"); // read as usual again
            assertEquals(client.getInputStream().read(), 'b');
        }
    }

    @Test(timeOut = 60_000)
    public void staysOpenIfItMayNotBeClosed() throws Exception {
        Connection connection = open();
        loop.execute(() -> connection.closeUnlessInputArrives(() -> false, () -> {}));
        send("a");
        assertEquals(client.getInputStream().read(), 'a');
    }

    /** Guards against a failure if a connection that is being closed is read from, written to or closed. */
    @Test(timeOut = 60_000)
    public void canBeUsedWhileItIsBeingClosed() throws Exception {
        Connection connection = open();
        loop.execute(() -> {
            connection.closeUnlessInputArrives(() -> true, () -> {});
            send("a");
            connection.readAvailable();
            connection.closeUnlessInputArrives(() -> true, () -> {});
        });
        assertEquals(client.getInputStream().read(), 'a');
        send("b");
        assertEquals(client.getInputStream().read(), 'b');
        loop.execute(() -> {
            connection.closeUnlessInputArrives(() -> true, () -> {});
            connection.close();
        });
        assertEquals(endSeenByClient(), END);
        assertTrue(released.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "descriptor not released");
    }

    private Connection open() throws Exception {
        CompletableFuture<Connection> opened = new CompletableFuture<>();
        SocketChannel accepted = server.accept();
        loop.execute(() -> {
            EchoHandler handler = new EchoHandler();
            handler.connection = new Connection(loop, accepted, accepted, released::countDown);
            handler.connection.open(handler);
            opened.complete(handler.connection);
        });
        return opened.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void send(String text) {
        try {
            client.getOutputStream().write(text.getBytes()); // arrives before this returns, on loopback
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private String endSeenByClient() throws IOException {
        try {
            return client.getInputStream().read() < 0 ? END : "a byte";
        } catch (SocketException e) {
            return RESET;
        }
    }
}
