package spurroad.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Client commands, split at any byte, and the responses to invalid ones. */
public class MetaCommandTest {
    private static final String READ = "mg 7f3a v O9b1f Pc=read,t=acme,d=480\r\n";
    private static final String WRITE = "ms 7f3a 5 O9b1f Pc=put,t=acme,d=480,k=5c0f\r\nhello\r\n";
    private static final String BAD_FORMAT = "CLIENT_ERROR bad command line format";
    private static final String LONG = "x".repeat(70_000);

    @Test
    public void readsCommandsSplitAtAnyByte() throws IOException {
        String all = READ + "mn\r\n" + WRITE + "hello\r\n" + READ;
        for (int split = 1; split < all.length(); split++) {
            ByteSource in = WireText.streamInTwoParts(all, split);
            List<String> read = new ArrayList<>();
            for (MetaCommand command = MetaCommand.read(in); command
                != null; command = MetaCommand.read(in)) {
                read.add(switch (command.kind) {
                    case READ, WRITE -> WireText.text(command.forEndpoint(77));
                    case READY -> "ready";
                    case INVALID -> command.errorResponse;
                });
            }
            assertEquals(read,
                List.of(READ.replace("480", "77"), "ready", WRITE.replace("480", "77"), "ERROR",
                    READ.replace("480", "77")));
        }
    }

    /**
     * A retry sent when no time is left has {@code d=0}. It must be valid, so that it is rejected like any
     * request that is too late: a CLIENT_ERROR would count as a failure.
     */
    @Test
    public void acceptsTimeoutOfZero() throws IOException {
        assertEquals(MetaCommand.read(WireText.stream("mg k v O1 Pc=read,d=0\r\n")).kind,
            MetaCommand.Kind.READ);
    }

    @Test
    public void readsAndForwardsAttributes() throws IOException {
        MetaCommand command = MetaCommand
            .read(WireText.stream("mg k v O1 Pc=read,t=acme,d=480,r=1,h=900,size=20\r\n"));
        assertEquals(
            List.of(command.key(), command.id(), command.timeoutMillis(), command.costHintMicros(),
                command.attribute("c")),
            List.of("k", "1", 480L, 900L, "read"));
        assertEquals(WireText.text(command.forEndpoint(5)),
            "mg k v O1 Pc=read,t=acme,d=5,r=1,h=900,size=20\r\n");
        String originRequest = WireText.text(Http.forOrigin(command, 5, "h:1"));
        assertEquals(originRequest.split("\r\n")[0], "GET /k HTTP/1.1");
        assertTrue(originRequest.contains("\r\nX-Request-Id: 1\r\n"));
        assertTrue(originRequest.contains("\r\nX-Extras: c=read,t=acme,d=5,r=1,h=900,size=20\r\n"));
    }

    @DataProvider
    Object[][] invalidCommands() {
        return new Object[][] {{"get a\r\n", "ERROR", false}, {"\r\n", "ERROR", false},
            {" \r\n", "ERROR", false},
            {"mg\r\n", "CLIENT_ERROR bad key", false},
            {"mg k v Pd=5\r\n", "CLIENT_ERROR no request id", false},
            {"mg k v O1\r\n", "CLIENT_ERROR no time to wait", false},
            {"mg k v O1 Pd=-5\r\n", "CLIENT_ERROR no time to wait", false},
            {"mg k v O1 Pd=99999999999999999999\r\n", "CLIENT_ERROR no time to wait", false},
            {"mg " + "k".repeat(251) + " v O1 Pd=5\r\n", "CLIENT_ERROR bad key", false},
            {"ms k 2 O1\r\nab\r\n", "CLIENT_ERROR no time to wait", false},
            {"ms k\r\n", "CLIENT_ERROR bad length", true},
            {"ms k x O1 Pd=5\r\n", "CLIENT_ERROR bad length", true},
            {"ms k 4194305 O1 Pd=5\r\n", "CLIENT_ERROR bad length", true},
            {"ms k 1 O1 Pd=5\r\nabcd\r\n", "CLIENT_ERROR bad data chunk", true},
            {"mg k v O" + "1".repeat(33) + " Pd=5\r\n", "CLIENT_ERROR no request id", false},
            {"mg k v O1 Pd=3600001\r\n", "CLIENT_ERROR no time to wait", false},
            {"mg k v O1 O2 Pd=5\r\n", BAD_FORMAT, false}, {"mg k v O1 Pd=5 Pd=5\r\n", BAD_FORMAT, false},
            {"mg k v O1 Pd=5,d=6\r\n", BAD_FORMAT, false}, {"mg k v O1 Pd=5,c=a,c=b\r\n", BAD_FORMAT, false},
            {"mg k v O1 Pd=5,c=\r\n", BAD_FORMAT, false}, {"mg k v O1 Pd=5,x\r\n", BAD_FORMAT, false},
            {"mg k v O1 Pd=5,h=-1\r\n", BAD_FORMAT, false}, {"mg k v  O1 Pd=5\r\n", BAD_FORMAT, false},
            {"mg k v O1 Pd=5 t\r\n", BAD_FORMAT, false}, {"mg k\u0007 v O1 Pd=5\r\n", BAD_FORMAT, false},
            {"mg k\u00e9 v O1 Pd=5\r\n", BAD_FORMAT, false}, {"mg k 1 O1 Pd=5\r\n", BAD_FORMAT, false},
            {LONG, "CLIENT_ERROR line too long", true}};
    }

    @Test(dataProvider = "invalidCommands")
    public void answersInvalidCommand(String command, String response, boolean unrecoverable)
        throws IOException {
        ByteSource in = WireText.stream(command + READ);
        MetaCommand parsedCommand = MetaCommand.read(in);
        assertEquals(List.of(parsedCommand.kind, parsedCommand.errorResponse, parsedCommand.unrecoverable),
            List.of(MetaCommand.Kind.INVALID, response, unrecoverable));
        assertEquals(unrecoverable ? MetaCommand.Kind.READ : MetaCommand.read(in).kind,
            MetaCommand.Kind.READ);
    }

    @Test
    public void returnsNullOnlyAtEndOfStreamBetweenCommands() throws IOException {
        assertNull(MetaCommand.read(new ByteSource(new ByteArrayInputStream(new byte[0]))));
        assertThrows(IOException.class, () -> MetaCommand.read(WireText.stream("mg k")));
        assertThrows(IOException.class, () -> MetaCommand.read(WireText.stream("ms k 5 O1 Pd=5\r\nab")));
    }
}
