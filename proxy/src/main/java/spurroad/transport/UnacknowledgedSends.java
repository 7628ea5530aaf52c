package spurroad.transport;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * The connections of this machine with sent bytes that their peers' systems have not acknowledged, as of one
 * moment. Such bytes are in the send queue of this machine's kernel: a reset drops them, an orderly close
 * goes on sending them. Read from Linux's {@code /proc/net/tcp} and {@code tcp6} (proc(5)), which takes some
 * milliseconds.
 */
public final class UnacknowledgedSends {
    private static final int LOCAL_ADDRESS_FIELD = 1; // hexadecimal ADDRESS:PORT
    private static final int REMOTE_ADDRESS_FIELD = 2;
    private static final int QUEUES_FIELD = 4; // hexadecimal SEND:RECEIVE
    static final int FIELDS_READ = 5;
    private static final int WORD_BYTES = 4;
    private static final int WORD_DIGITS = 2 * WORD_BYTES;
    private static final byte[] EMPTY_QUEUE = "00000000:".getBytes(StandardCharsets.US_ASCII);

    private final Set<String> connections = new HashSet<>(); // local port, remote address and port

    private UnacknowledgedSends() {}

    /** Returns the current state; empty if the system does not report it. */
    public static Optional<UnacknowledgedSends> read() {
        return read(Path.of("/proc/self/net/tcp"), Path.of("/proc/self/net/tcp6"));
    }

    /** Reads the tables of IPv4 and IPv6 sockets, of which one may be missing. */
    static Optional<UnacknowledgedSends> read(Path ipv4SocketTable, Path ipv6SocketTable) {
        UnacknowledgedSends sends = new UnacknowledgedSends();
        boolean hasIpv4 = sends.add(ipv4SocketTable);
        boolean hasIpv6 = sends.add(ipv6SocketTable);
        return hasIpv4 || hasIpv6 ? Optional.of(sends) : Optional.empty();
    }

    private boolean add(Path socketTable) {
        try (InputStream table = Files.newInputStream(socketTable)) {
            new SocketTableReader(table, this::addLine).readLines();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void addLine(SocketTableLine line) {
        if (!line.startsWith(QUEUES_FIELD, EMPTY_QUEUE)) {
            String local = line.field(LOCAL_ADDRESS_FIELD);
            connections.add(key(local.substring(local.indexOf(':') + 1), line.field(REMOTE_ADDRESS_FIELD)));
        }
    }

    /** Identifies a connection; an IPv4 address is the last word of the same address in IPv6. */
    private static String key(String localPort, String remote) {
        int portAt = remote.indexOf(':');
        String address = remote.substring(0, portAt);
        boolean isMapped = address.startsWith("0000000000000000FFFF0000");
        String shortAddress = isMapped ? address.substring(address.length() - WORD_DIGITS) : address;
        return localPort + " " + shortAddress + remote.substring(portAt);
    }

    /** Returns whether a channel is a connection that has unacknowledged bytes. */
    boolean contains(Channel channel) {
        return channel instanceof SocketChannel socket
            && socket.socket().getRemoteSocketAddress() instanceof InetSocketAddress remote
            && contains((InetSocketAddress) socket.socket().getLocalSocketAddress(), remote);
    }

    /** Returns whether a connection between two addresses has unacknowledged bytes. */
    boolean contains(InetSocketAddress local, InetSocketAddress remote) {
        return connections.contains(key(hexPort(local), hexAddress(remote) + ":" + hexPort(remote)));
    }

    private static String hexPort(InetSocketAddress address) {
        return String.format(Locale.ROOT, "%04X", address.getPort());
    }

    /** Returns an address as the kernel of a little-endian machine prints it, each word in reverse. */
    private static String hexAddress(InetSocketAddress address) {
        byte[] bytes = address.getAddress().getAddress();
        StringBuilder hex = new StringBuilder();
        for (int i = 0; i < bytes.length; i++) {
            int inWord = WORD_BYTES - 1 - i % WORD_BYTES;
            hex.append(String.format(Locale.ROOT, "%02X", bytes[i - i % WORD_BYTES + inWord]));
        }
        return hex.toString();
    }
}
