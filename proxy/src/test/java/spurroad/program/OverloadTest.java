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
    public void sendsWholeResponseToSlowReaderWhenManyAreConnected() throws Exception {
        try (Peer discovery = new Peer(m -> null); Peer node = new Peer(hit("x".repeat(LONG_BYTES)))) {
            ProxyService proxy = proxy(discovery, 256, node);
            List<Client> others = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                others.add(new Client(proxy.port()).say("mn\r\n"));
            }
            try (Client slow = new Client(proxy.port())) {
                assertEquals(slow.say(READ).line(), "VA " + LONG_BYTES + " O1");
                Thread.sleep(1_000); // three times the idle timeout when many clients are connected
                byte[] value = new byte[LONG_BYTES];
                slow.in.readFully(value, 0, value.length);
                slow.in.readLineEnd();
                assertEquals(slow.say("mn\r\n").line(), "MN");
            }
            for (Client client : others) {
                client.close();
            }
        }
    }

    /** During a shutdown a long response is sent completely, then the connection is closed in order. */
    @Test
    public void sendsWholeResponseToSlowReaderDuringShutdown() throws Exception {
        try (Peer discovery = new Peer(m -> null); Peer node = new Peer(hit("x".repeat(LONG_BYTES)))) {
            ProxyService proxy = proxy(discovery, 256, node);
            try (Client slow = new Client(proxy.port())) {
                assertEquals(slow.say(READ).line(), "VA " + LONG_BYTES + " O1");
                Thread shutdown = ending(proxy);
                Thread.sleep(900);
                byte[] value = new byte[LONG_BYTES];
                slow.in.readFully(value, 0, value.length);
                slow.in.readLineEnd();
                shutdown.join();
            }
        }
    }

    /** A proxy that shuts down still serves connected clients, as its successor is up only later. */
    @Test
    public void servesConnectedClientsDuringShutdown() throws Exception {
        try (Peer discovery = new Peer(m -> null); Peer node = new Peer(hit("v"))) {
            ProxyService proxy = proxy(discovery, 256, node);
            try (Client client = new Client(proxy.port())) {
                assertEquals(client.say(READ).line() + client.line(), "VA 1 O1v");
                long startNanos = System.nanoTime();
                Thread shutdown = ending(proxy);
                int served = 0;
                String line = client.say(READ).line();
                while ("VA 1 O1".equals(line)) {
                    client.line();
                    served++;
                    Thread.sleep(10);
                    try {
                        line = client.say(READ).line();
                    } catch (IOException e) {
                        line = null; // closed between two requests
                    }
                }
                double seconds = (System.nanoTime() - startNanos) / 1e9;
                shutdown.join();
                assertTrue(served > 20 && seconds > 1, served + " served in " + seconds + " s, then " + line);
                assertTrue(seconds < 4, "ended too close to the kill: " + seconds + " s");
            }
        }
    }

    /** All clients connect at once, as when a data centre recovers. */
    @Test
    public void answersEveryClientOfConnectionBurst() throws Exception {
        try (Peer discovery = new Peer(m -> null); Peer node = new Peer(hit("v"))) {
            ProxyService proxy = proxy(discovery, 1024, node);
            for (int round = 0; round < 3; round++) {
                List<Client> commands = new ArrayList<>();
                for (int i = 0; i < 300; i++) {
                    commands.add(new Client(proxy.port()));
                }
                for (int i = 0; i < commands.size(); i++) {
                    commands.get(i).say(READ.replace("O1", "O" + round + "x" + i));
                }
                for (Client client : commands) {
                    String line = client.line();
                    assertTrue(line.startsWith("VA 1 O") || line.startsWith("SERVER_ERROR busy"), line);
                }
                for (Client client : commands) {
                    client.close();
                }
            }
        }
    }

    /** Number of commands: as many as one read takes, and more than the read-ahead limit allows. */
    @DataProvider
    Object[][] commandCounts() {
        return new Object[][] {{500}, {40_000}};
    }

    /**
     * A client that sends many commands at once delays nobody and gets all its responses in order. Commands
     * that exceed the read-ahead limit are rejected, because the proxy could not detect that their client
     * disconnected.
     */
    @Test(dataProvider = "commandCounts")
    public void answersPipelinedCommandsInOrderWithoutDelayingOthers(int count) throws Exception {
        try (Peer discovery = new Peer(m -> null); Peer node = new Peer(hit("v"))) {
            ProxyService proxy = proxy(discovery, 256, node);
            try (Client pipelining = new Client(proxy.port()); Client single = new Client(proxy.port())) {
                StringBuilder commands = new StringBuilder();
                for (int i = 0; i < count; i++) {
                    commands.append(READ.replace("O1", "O" + (1000 + i)));
                }
                pipelining.sayInBackground(commands.toString());
                String singleResponse = single.say(READ).line();
                assertTrue(
                    singleResponse.startsWith("VA 1 O1") || singleResponse.startsWith("SERVER_ERROR busy "),
                    singleResponse);
                for (int i = 0; i < count; i++) {
                    String line = pipelining.line();
                    if (line.startsWith("VA")) {
                        assertEquals(line + pipelining.line(), "VA 1 O" + (1000 + i) + "v");
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
    public void rejectsRequestsOverCapacityWithRetryAfter() throws Exception {
        try (Peer discovery = new Peer(m -> null); Peer node = new Peer(hit("v"))) {
            // a hundredth of a core: this process with its many threads uses many times that
            ProxyService proxy = service(new ProxyConfiguration(ScriptedPeers.start(discovery.port, 256,
                ScriptedPeers.list(1, true, target(node))).replace("\"cores\":64.0", "\"cores\":0.01")));
            try (Client client = new Client(proxy.port())) {
                int rejected = 0;
                long deadlineNanos = System.nanoTime() + 15_000_000_000L;
                for (int i = 0; rejected == 0 && System.nanoTime() < deadlineNanos; i++) {
                    String line = client.say(READ.replace("O1", "O" + i)).line();
                    if (line.startsWith("VA")) {
                        client.line();
                    } else {
                        assertTrue(line.matches("SERVER_ERROR busy [0-9]+"), line);
                        rejected++;
                    }
                }
                assertTrue(rejected > 0);
            }
        }
    }

    /** A message split at any two positions is read as if it had arrived at once. */
    @Test
    public void readsSameMessagesWhereverBytesAreSplit() throws Exception {
        String text = "mg a v O1 Pc=read,d=5\r\nms b 4 O2 Pc=put,d=5,k=1\r\n\r\n\r\n\r\nmn\r\n";
        for (int firstSplit = 0; firstSplit <= text.length(); firstSplit++) {
            for (int secondSplit = firstSplit; secondSplit <= text.length(); secondSplit++) {
                ByteSource in = new ByteSource();
                List<String> messages = new ArrayList<>();
                for (String part : List.of(text.substring(0, firstSplit),
                    text.substring(firstSplit, secondSplit),
                    text.substring(secondSplit))) {
                    if (!part.isEmpty()) {
                        in.feed(ByteBuffer.wrap(part.getBytes()));
                    }
                    readMessages(in, messages);
                }
                assertEquals(messages, List.of("1 0", "2 4", " 0"), firstSplit + ", " + secondSplit);
                assertEquals(in.available(), 0);
            }
        }
    }

    private static void readMessages(ByteSource in, List<String> messages) throws IOException {
        while (in.mayHaveMessage()) {
            MetaCommand command = in.readMessage(MetaCommand::read);
            if (command == null) {
                return;
            }
            messages.add(command.id() + " " + command.value.length);
        }
    }
}
