package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static spurroad.program.RunningProxy.READ;
import static spurroad.program.RunningProxy.ending;
import static spurroad.program.RunningProxy.hit;
import static spurroad.program.RunningProxy.service;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.configuration.ProxyConfiguration;
import spurroad.fixture.ScriptedPeers;
import spurroad.fixture.ScriptedPeers.Client;
import spurroad.fixture.ScriptedPeers.Peer;
import spurroad.protocol.ByteSource;
import spurroad.protocol.MetaCommand;

/**
 * Overloads the whole proxy in several ways. The thresholds of its overload protection have unit tests of
 * their own.
 */
public class OverloadTest {
    private static final int LONG_BYTES = 400_000;

    private static ProxyService proxy(Peer discovery, int sockets, Peer node) throws Exception {
        return RunningProxy.proxy(discovery, sockets, target(node));
    }

    private static String target(Peer node) {
        return ScriptedPeers.target("s-1", "m1", node.port, "active", 0);
    }

    /**
     * Guards against responses of up to 400 KB that are lost because their connection counts as idle and is
     * reset.
     */
    @Test
    public void aLongAnswerThatItsClientTakesSlowlyArrivesWholeWhereManyAreConnected() throws Exception {
        try (Peer discovery = new Peer(m -> null); Peer node = new Peer(hit("x".repeat(LONG_BYTES)))) {
            ProxyService s = proxy(discovery, 256, node);
            List<Client> crowd = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                crowd.add(new Client(s.port()).say("mn\r\n"));
            }
            try (Client slow = new Client(s.port())) {
                assertEquals(slow.say(READ).line(), "VA " + LONG_BYTES + " O1");
                Thread.sleep(1_000); // three times the idle timeout when many clients are connected
                byte[] value = new byte[LONG_BYTES];
                slow.in.readFully(value, 0, value.length);
                slow.in.readLineEnd();
                assertEquals(slow.say("mn\r\n").line(), "MN");
            }
            for (Client c : crowd) {
                c.close();
            }
        }
    }

    /** During a shutdown a long response is sent completely, then the connection is closed in order. */
    @Test
    public void aLongAnswerArrivesWholeAlsoWhenTheProxyEnds() throws Exception {
        try (Peer discovery = new Peer(m -> null); Peer node = new Peer(hit("x".repeat(LONG_BYTES)))) {
            ProxyService s = proxy(discovery, 256, node);
            try (Client slow = new Client(s.port())) {
                assertEquals(slow.say(READ).line(), "VA " + LONG_BYTES + " O1");
                Thread end = ending(s);
                Thread.sleep(900);
                byte[] value = new byte[LONG_BYTES];
                slow.in.readFully(value, 0, value.length);
                slow.in.readLineEnd();
                end.join();
            }
        }
    }

    /** A proxy that shuts down still serves connected clients, as its successor is up only later. */
    @Test
    public void connectedClientsAreServedDuringTheShutdown() throws Exception {
        try (Peer discovery = new Peer(m -> null); Peer node = new Peer(hit("v"))) {
            ProxyService s = proxy(discovery, 256, node);
            try (Client c = new Client(s.port())) {
                assertEquals(c.say(READ).line() + c.line(), "VA 1 O1v");
                long from = System.nanoTime();
                Thread end = ending(s);
                int served = 0;
                String line = c.say(READ).line();
                while ("VA 1 O1".equals(line)) {
                    c.line();
                    served++;
                    Thread.sleep(10);
                    try {
                        line = c.say(READ).line();
                    } catch (IOException e) {
                        line = null; // closed between two requests
                    }
                }
                double seconds = (System.nanoTime() - from) / 1e9;
                end.join();
                assertTrue(served > 20 && seconds > 1, served + " served in " + seconds + " s, then " + line);
                assertTrue(seconds < 4, "ended too close to the kill: " + seconds + " s");
            }
        }
    }

    /** All clients connect at once, as when a data centre recovers. */
    @Test
    public void everyClientThatConnectsAtOnceHasAnAnswer() throws Exception {
        try (Peer discovery = new Peer(m -> null); Peer node = new Peer(hit("v"))) {
            ProxyService s = proxy(discovery, 1024, node);
            for (int round = 0; round < 3; round++) {
                List<Client> all = new ArrayList<>();
                for (int i = 0; i < 300; i++) {
                    all.add(new Client(s.port()));
                }
                for (int i = 0; i < all.size(); i++) {
                    all.get(i).say(READ.replace("O1", "O" + round + "x" + i));
                }
                for (Client c : all) {
                    String line = c.line();
                    assertTrue(line.startsWith("VA 1 O") || line.startsWith("SERVER_ERROR busy"), line);
                }
                for (Client c : all) {
                    c.close();
                }
            }
        }
    }

    /** Number of commands: as many as one read takes, and more than the read-ahead limit allows. */
    @DataProvider
    Object[][] many() {
        return new Object[][] {{500}, {40_000}};
    }

    /**
     * A client that sends many commands at once delays nobody and gets all its responses in order. Commands
     * that exceed the read-ahead limit are rejected, because the proxy could not detect that their client
     * disconnected.
     */
    @Test(dataProvider = "many")
    public void pipelinedCommandsAreAnsweredInOrderAndDelayNobody(int count) throws Exception {
        try (Peer discovery = new Peer(m -> null); Peer node = new Peer(hit("v"))) {
            ProxyService s = proxy(discovery, 256, node);
            try (Client many = new Client(s.port()); Client one = new Client(s.port())) {
                StringBuilder all = new StringBuilder();
                for (int i = 0; i < count; i++) {
                    all.append(READ.replace("O1", "O" + (1000 + i)));
                }
                many.sayInBackground(all.toString());
                String other = one.say(READ).line();
                assertTrue(other.startsWith("VA 1 O1") || other.startsWith("SERVER_ERROR busy "), other);
                for (int i = 0; i < count; i++) {
                    String line = many.line();
                    if (line.startsWith("VA")) {
                        assertEquals(line + many.line(), "VA 1 O" + (1000 + i) + "v");
                    } else {
                        // the cache node has reached its limit
                        assertTrue(line.startsWith("SERVER_ERROR busy "), line);
                    }
                }
            }
        }
    }

    /** A proxy over its capacity rejects requests at once, and accepts them again when capacity is free. */
    @Test
    public void whatExceedsTheCapacityIsRejectedAtOnceWithRetryAfter() throws Exception {
        try (Peer discovery = new Peer(m -> null); Peer node = new Peer(hit("v"))) {
            // a hundredth of a core: this process with its many threads uses many times that
            ProxyService s = service(new ProxyConfiguration(ScriptedPeers.start(discovery.port, 256,
                ScriptedPeers.list(1, true, target(node))).replace("\"cores\":64.0", "\"cores\":0.01")));
            try (Client c = new Client(s.port())) {
                int away = 0;
                long until = System.nanoTime() + 15_000_000_000L;
                for (int i = 0; away == 0 && System.nanoTime() < until; i++) {
                    String line = c.say(READ.replace("O1", "O" + i)).line();
                    if (line.startsWith("VA")) {
                        c.line();
                    } else {
                        assertTrue(line.matches("SERVER_ERROR busy [0-9]+"), line);
                        away++;
                    }
                }
                assertTrue(away > 0);
            }
        }
    }

    /** A message split at any two positions is read as if it had arrived at once. */
    @Test
    public void aFedSourceReadsTheSameWhereverItsBytesWereCut() throws Exception {
        String text = "mg a v O1 Pc=read,d=5\r\nms b 4 O2 Pc=put,d=5,k=1\r\n\r\n\r\n\r\nmn\r\n";
        for (int cut = 0; cut <= text.length(); cut++) {
            for (int second = cut; second <= text.length(); second++) {
                ByteSource in = new ByteSource();
                List<String> read = new ArrayList<>();
                for (String piece : List.of(text.substring(0, cut), text.substring(cut, second),
                    text.substring(second))) {
                    if (!piece.isEmpty()) {
                        in.feed(ByteBuffer.wrap(piece.getBytes()));
                    }
                    take(in, read);
                }
                assertEquals(read, List.of("1 0", "2 4", " 0"), cut + ", " + second);
                assertEquals(in.available(), 0);
            }
        }
    }

    private static void take(ByteSource in, List<String> read) throws IOException {
        while (in.mayHaveMessage()) {
            MetaCommand command = in.readMessage(MetaCommand::read);
            if (command == null) {
                return;
            }
            read.add(command.id() + " " + command.value.length);
        }
    }
}
