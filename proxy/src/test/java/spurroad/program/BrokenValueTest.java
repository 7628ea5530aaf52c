package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;

/**
 * Long values that break off, and commands that their client sent behind the read. Guards against requests
 * that get no response because the connection is reset over a value before them.
 */
public class BrokenValueTest {
    private static final int VALUE_BYTES = 1 << 20;
    private static final int FIRST_BYTES = VALUE_BYTES / 4;
    private static final long BREAK_AFTER_MILLIS = 300;
    private static final long LATER_MILLIS = 1_500; // longer than a value is held
    private static final long SLOW_WRITE_MILLIS = 600;
    private static final String LONG_READ = "mg long v Olong Pc=read,t=acme,d=9000\r\n";
    private static final String WRITE = "ms w 1 Ow Pc=put,t=acme,d=9000,k=w\r\nv\r\n";
    private static final String READ = "mg r v Or Pc=read,t=acme,d=9000\r\n";
    private static final String SLOW_WRITE = "ms slow 1 Oslow Pc=put,t=acme,d=9000,k=slow\r\nv\r\n";

    /** What happens after the first quarter of the value. */
    private enum Break {
        RESET, END
    }

    private static void reply(Socket socket, String id, Break how) throws Exception {
        if (!id.equals("long")) {
            socket.getOutputStream().write(("VA 1 O" + id + "\r\nv\r\n").getBytes());
            return;
        }
        socket.getOutputStream().write(("VA " + VALUE_BYTES + " O" + id + "\r\n").getBytes());
        socket.getOutputStream().write(new byte[FIRST_BYTES]);
        Thread.sleep(BREAK_AFTER_MILLIS);
        if (how == Break.RESET) {
            socket.setSoLinger(true, 0);
        }
        socket.close();
    }

    private static ProxyService proxy(ScriptedNode node, Peer origin) throws Exception {
        return RunningProxy.proxy(new Peer(message -> RunningProxy.WATCH), 256,
            ScriptedPeers.target("s-1", "m1", node.port(), "active", 0),
            ScriptedPeers.target("s-o", "origin", origin.port, "active", 0));
    }

    private static Peer origin() {
        return new Peer(message -> {
            if (!message.startsWith("PUT")) {
                return "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n";
            }
            if (message.startsWith("PUT /slow")) {
                sleep(SLOW_WRITE_MILLIS);
            }
            return RunningProxy.ok("r1");
        });
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @DataProvider
    Object[][] breaks() {
        return new Object[][] {{Break.RESET}, {Break.END}};
    }

    @Test(dataProvider = "breaks", timeOut = 60_000)
    public void answersCommandsBehindValueThatBreaksOff(Break how) throws Exception {
        try (ScriptedNode node = new ScriptedNode((socket, id) -> reply(socket, id, how));
            Peer origin = origin();
            Client client = new Client(proxy(node, origin).port())) {
            client.say(LONG_READ + WRITE + READ);
            String first = client.line();
            assertTrue(first != null && first.startsWith("SERVER_ERROR"), first);
            assertEquals(client.line(), "HD Ow cr1");
            assertEquals(client.line() + client.line(), "VA 1 Orv");
        }
    }

    /** A value that breaks off while it waits for its turn is read again, and needs no reset. */
    @Test(dataProvider = "breaks", timeOut = 60_000)
    public void servesValueThatBrokeOffBeforeItsTurn(Break how) throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        try (ScriptedNode node = new ScriptedNode((socket, id) -> {
            if (attempts.incrementAndGet() == 1) {
                reply(socket, id, how);
            } else {
                socket.getOutputStream().write(("VA " + VALUE_BYTES + " Olong\r\n").getBytes());
                socket.getOutputStream().write(new byte[VALUE_BYTES]);
                socket.getOutputStream().write("\r\n".getBytes());
            }
        }); Peer origin = origin(); Client client = new Client(proxy(node, origin).port())) {
            client.say(SLOW_WRITE + LONG_READ);
            assertEquals(client.line(), "HD Oslow cr1");
            assertEquals(client.line(), "VA " + VALUE_BYTES + " Olong");
            client.in.readFully(new byte[VALUE_BYTES], 0, VALUE_BYTES);
            assertEquals(client.line(), "");
            assertEquals(client.say("mn\r\n").line(), "MN", "the connection stays usable");
        }
    }

    /** A write that comes while a value is passed on before it does not run, and so has lost nothing. */
    @Test(timeOut = 60_000)
    public void startsNoCommandBehindValueThatIsBeingPassedOn() throws Exception {
        try (ScriptedNode node = new ScriptedNode((socket, id) -> reply(socket, id, Break.RESET));
            Peer origin = origin();
            Client client = new Client(proxy(node, origin).port())) {
            client.say(LONG_READ);
            assertEquals(client.line(), "VA " + VALUE_BYTES + " Olong");
            client.say(WRITE);
            assertValueBreaksOff(client);
            Thread.sleep(BREAK_AFTER_MILLIS);
            assertTrue(origin.received.stream().noneMatch(message -> message.startsWith("PUT")), "it ran");
        }
    }

    private static void assertValueBreaksOff(Client client) {
        try {
            client.in.readFully(new byte[VALUE_BYTES], 0, VALUE_BYTES);
        } catch (IOException expected) {
            return;
        }
        throw new AssertionError("the value became whole");
    }

    /** A value that takes longer than it is held is passed on whole, in the order of its bytes. */
    @Test(timeOut = 60_000)
    public void passesOnHeldValueThatBecomesCompleteLater() throws Exception {
        byte[] value = new byte[VALUE_BYTES];
        new Random(9).nextBytes(value);
        try (ScriptedNode node = new ScriptedNode((socket, id) -> {
            if (!id.equals("long")) {
                reply(socket, id, Break.RESET);
                return;
            }
            socket.getOutputStream().write(("VA " + VALUE_BYTES + " Olong\r\n").getBytes());
            socket.getOutputStream().write(value, 0, FIRST_BYTES);
            Thread.sleep(LATER_MILLIS);
            socket.getOutputStream().write(value, FIRST_BYTES, VALUE_BYTES - FIRST_BYTES);
            socket.getOutputStream().write("\r\n".getBytes());
        }); Peer origin = origin(); Client client = new Client(proxy(node, origin).port())) {
            long sentNanos = System.nanoTime();
            client.say(LONG_READ + WRITE + READ);
            assertEquals(client.line(), "VA " + VALUE_BYTES + " Olong");
            long firstMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
            assertTrue(firstMillis < LATER_MILLIS, "held back for " + firstMillis + " ms");
            byte[] received = new byte[VALUE_BYTES];
            client.in.readFully(received, 0, VALUE_BYTES);
            assertEquals(received, value);
            assertEquals(client.line(), "");
            assertEquals(client.line(), "HD Ow cr1");
            assertEquals(client.line() + client.line(), "VA 1 Orv");
        }
    }
}
