package spurroad.testbed.soak;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** The ports that a run of the soak gives to its processes. */
public class SocketsTest {
    private static final int PORTS = 500; // more than a run needs

    /**
     * Guards against two processes of a run that are given one port: it is not in use yet when the second is
     * given it, or its process is being restarted.
     */
    @Test
    public void givesNoPortTwiceInARun() throws IOException {
        Set<Integer> given = new HashSet<>();
        for (int i = 0; i < PORTS; i++) {
            int port = Sockets.freePort();
            assertTrue(given.add(port), "port " + port + " given twice");
        }
        Sockets.forgetGivenPorts();
    }
}
