package spurroad.transport;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalInt;

/**
 * Reads the length of a listening socket's accept queue from Linux's {@code /proc/net/tcp} and {@code tcp6}
 * (proc(5)), which report it as the receive queue of the socket. Both files list the listening sockets first,
 * so little is read.
 */
final class AcceptQueueLength {
    private static final String LISTENING_STATE = "0A";
    private static final int LOCAL_ADDRESS_FIELD = 1; // hexadecimal ADDRESS:PORT
    private static final int STATE_FIELD = 3;
    private static final int QUEUES_FIELD = 4; // hexadecimal SEND:RECEIVE
    private static final int FIELDS_READ = 5;

    private final Path ipv4SocketTable;
    private final Path ipv6SocketTable;

    AcceptQueueLength() {
        this(Path.of("/proc/self/net/tcp"), Path.of("/proc/self/net/tcp6"));
    }

    AcceptQueueLength(Path ipv4SocketTable, Path ipv6SocketTable) {
        this.ipv4SocketTable = ipv4SocketTable;
        this.ipv6SocketTable = ipv6SocketTable;
    }

    /**
     * Returns how many connections are queued for a local port. If several sockets listen on it, this is the
     * sum for all of them, so at least the length of each queue. Empty if the system does not report it.
     */
    OptionalInt read(int port) {
        OptionalInt ipv4 = read(ipv4SocketTable, port);
        OptionalInt ipv6 = read(ipv6SocketTable, port);
        if (ipv4.isEmpty() && ipv6.isEmpty()) {
            return OptionalInt.empty();
        }
        return OptionalInt.of(ipv4.orElse(0) + ipv6.orElse(0));
    }

    private static OptionalInt read(Path socketTable, int port) {
        OptionalInt length = OptionalInt.empty();
        try (BufferedReader lines = Files.newBufferedReader(socketTable, StandardCharsets.US_ASCII)) {
            lines.readLine(); // the header
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                String[] fields = line.strip().split("\\s+", FIELDS_READ + 1);
                if (fields.length < FIELDS_READ || !fields[STATE_FIELD].equals(LISTENING_STATE)) {
                    break;
                }
                if (parseHexAfterColon(fields[LOCAL_ADDRESS_FIELD]) == port) {
                    length = OptionalInt.of(length.orElse(0) + parseHexAfterColon(fields[QUEUES_FIELD]));
                }
            }
            return length;
        } catch (IOException | NumberFormatException e) {
            return OptionalInt.empty();
        }
    }

    private static int parseHexAfterColon(String pair) {
        return Integer.parseInt(pair.substring(pair.indexOf(':') + 1), 16);
    }
}
