package spurroad.program;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;
import spurroad.protocol.ByteSource;

/**
 * Clients that send many commands at once and read the responses later. Guards against connections that are
 * reset as idle over responses that the kernel has not delivered yet.
 */
public class UndeliveredAnswersTest {
    private static final int SOCKETS = 64;
    private static final int OTHER_CLIENTS = 15; // over a quarter of the connections that are allowed
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final long ANSWER_MILLIS = 300; // in which all commands are answered
    private static final long OTHER_INTERVAL_MILLIS = 100;

    /** What makes the proxy close idle connections. */
    private enum Reason {
        CROWD, END
    }

    @DataProvider
    Object[][] pauses() {
        return new Object[][] {{Reason.CROWD, 16, 15_000, 700}, {Reason.CROWD, 16, 15_000, 1_900},
            {Reason.CROWD, 60, 1_500, 700}, {Reason.END, 16, 15_000, 1_900}};
    }

    @Test(dataProvider = "pauses", timeOut = 60_000)
    public void deliversAllAnswersToClientThatReadsLater(Reason reason, int commands, int length,
                                                         long pauseMillis)
        throws Exception {
        Peer discovery = new Peer(message -> RunningProxy.WATCH);
        Peer node = new Peer(RunningProxy.hit("x".repeat(length)));
        ProxyService proxy = RunningProxy.proxy(discovery, SOCKETS,
            ScriptedPeers.target("s-1", "m1", node.port, "active", 0));
        AtomicBoolean ended = new AtomicBoolean();
        if (reason == Reason.CROWD) {
            for (int i = 0; i < OTHER_CLIENTS; i++) {
                ScriptedPeers.daemon(() -> askNowAndThen(proxy.port(), ended));
            }
        }
        try (Socket client = new Socket()) {
            client.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            client.setSoTimeout(READ_TIMEOUT_MILLIS);
            client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), proxy.port()));
            client.getOutputStream().write(reads(commands).getBytes(StandardCharsets.ISO_8859_1));
            Thread.sleep(ANSWER_MILLIS);
            if (reason == Reason.END) {
                RunningProxy.ending(proxy);
            }
            Thread.sleep(pauseMillis);
            assertEquals(countWholeAnswers(client, commands, length), commands);
        } finally {
            ended.set(true);
        }
    }

    private static String reads(int count) {
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < count; i++) {
            commands.append("mg k" + i + " v O" + i + " Pc=read,t=acme,d=9000\r\n");
        }
        return commands.toString();
    }

    /** Returns how many answers can be read whole before the connection ends. */
    private static int countWholeAnswers(Socket client, int expected, int length) throws IOException {
        ByteSource in = new ByteSource(client.getInputStream());
        byte[] value = new byte[length];
        for (int i = 0; i < expected; i++) {
            try {
                String line = in.readLine(9000);
                if (line == null) {
                    return i;
                }
                if (!line.startsWith("SERVER_ERROR busy")) { // a refusal is an answer too
                    assertEquals(line, "VA " + length + " O" + i);
                    in.readFully(value, 0, length);
                    in.readLineEnd();
                }
            } catch (SocketException reset) {
                return i;
            }
        }
        return expected;
    }

    /** Sends a readiness check now and then, on a connection that is kept. */
    private static void askNowAndThen(int port, AtomicBoolean ended) throws Exception {
        try (Client client = new Client(port)) {
            while (!ended.get()) {
                client.say("mn\r\n").line();
                Thread.sleep(OTHER_INTERVAL_MILLIS);
            }
        }
    }
}
