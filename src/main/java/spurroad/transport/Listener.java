package spurroad.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Owns the listening socket; its thread takes a place for a client before it accepts one. */
public final class Listener {
    /** Gets accepted connections, those of guests to be let go soon, and is asked for places when there is none. */
    public interface Door {
        void accepted(Connection c, boolean guest);

        void placesNeeded();
    }

    private static final int BACKLOG = 1024; // connections; a burst of clients after a restart
    private static final long ASK_NS = 2_000_000L; // ns; between askings for a place: an idle connection closes in less
    private static final long REST_MS = 20; // ms; after a failed accept, which may fail again at once
    private static final int LOOK_MS = 150; // ms; how often it is seen whether to end; each look costs some CPU
    private static final int LAST_MS = 20; // ms; without a further connection, before the socket is closed

    private final ServerSocket socket;
    private final Descriptors descriptors;
    private final Door door;
    private final EventLog log;
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile boolean ending;

    public Listener(InetSocketAddress at, Descriptors descriptors, Door door, EventLog log) throws IOException {
        this.descriptors = descriptors;
        this.door = door;
        this.log = log;
        socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(at, BACKLOG);
    }

    public int port() {
        return socket.getLocalPort();
    }

    /** Accepts until told to end, and then all those that the system has taken for us already. */
    public void run() {
        boolean more = true;
        while (more) {
            boolean last = ending;
            try {
                socket.setSoTimeout(last ? LAST_MS : LOOK_MS);
                boolean guest = !place();
                more = accept(guest) || !last;
            } catch (InterruptedException | SocketException e) {
                more = false;
            }
        }
        try {
            socket.close();
        } catch (IOException e) {
            log.trouble("the listening socket can't be closed", e.getMessage());
        }
        ended.countDown();
    }

    /** Takes a place; where clients make none it is a guest's, and false: who waits in the system's queue is lost. */
    private boolean place() throws InterruptedException {
        if (descriptors.takeForClient(0)) {
            return true;
        }
        do {
            door.placesNeeded();
            if (descriptors.takeForClient(ASK_NS)) {
                return true;
            }
        } while (!descriptors.takeForGuest(ASK_NS));
        return false;
    }

    private boolean accept(boolean guest) throws InterruptedException {
        try {
            Socket s = socket.accept();
            boolean stays = guest && descriptors.takeForClient(0);
            if (stays) {
                descriptors.giveFromGuest();
            }
            boolean stillGuest = guest && !stays;
            door.accepted(new Connection(s, () -> giveBack(stillGuest)), stillGuest);
            return true;
        } catch (SocketTimeoutException e) {
            giveBack(guest);
            return false;
        } catch (IOException e) {
            giveBack(guest);
            log.trouble("accepting failed", e.getMessage());
            Thread.sleep(REST_MS);
            return false;
        }
    }

    private void giveBack(boolean guest) {
        if (guest) {
            descriptors.giveFromGuest();
        } else {
            descriptors.giveFromClient();
        }
    }

    /** Makes it take what the system has accepted, and then close; tells whether it has within the time. */
    public boolean end(long waitMs) throws InterruptedException {
        ending = true;
        return ended.await(waitMs, TimeUnit.MILLISECONDS);
    }
}
