package spurroad.protocol;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import spurroad.model.CacheKey;
import spurroad.model.CellId;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointKindId;
import spurroad.model.EndpointPhase;
import spurroad.model.ZoneId;

/**
 * A message of discovery: the complete endpoint list, or changes to it.
 *
 * @param isComplete whether the message is the complete list; otherwise it holds the changed endpoints only
 */
public record EndpointList(long revision, boolean isComplete, List<ListedEndpoint> endpoints) {
    /** An endpoint and the address at which this proxy connects to it. */
    public record ListedEndpoint(Endpoint endpoint, InetSocketAddress address) {}

    /**
     * The endpoint kinds and zones that the settings name.
     *
     * @param kinds the names of endpoint kinds; the index of a name is its number
     * @param zones the names of zones; the index of a name is its number
     * @param weighted whether listed capacities are used as weights
     */
    public record EndpointNames(List<String> kinds, List<String> zones, boolean weighted) {
        private static final double DEFAULT_WEIGHT = 1;

        /** Returns the weight of an endpoint with a listed capacity; always finite and greater than zero. */
        public double weight(double capacity) {
            return weighted && capacity > 0 && capacity < Float.MAX_VALUE ? capacity : DEFAULT_WEIGHT;
        }
    }

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_PORT = 65535;
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L; // 64-bit FNV-1a
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final String IPV4_BYTE = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
    private static final String IPV4 = "(" + IPV4_BYTE + "\\.){3}" + IPV4_BYTE;
    // a text with other characters would be resolved as a host name
    private static final String IPV6 = "\\[[0-9a-fA-F:.]+\\]";
    // kinds and zones that the settings do not name get numbers from here on
    private static final int FIRST_HASHED_NUMBER = 1 << 16;
    private static final long HASHED_NUMBER_MASK = 0xffff;

    /**
     * Converts the parsed JSON of discovery to an endpoint list.
     *
     * @throws ProtocolException if a field is missing or of another type
     */
    public static EndpointList read(Object json, EndpointNames names) throws ProtocolException {
        if (!(json instanceof Map<?, ?> list) || !(list.get("targets") instanceof List<?> targets)) {
            throw new ProtocolException("a list without targets");
        }
        List<ListedEndpoint> endpoints = new ArrayList<>();
        for (Object target : targets) {
            if (!(target instanceof Map<?, ?> entry)) {
                throw new ProtocolException("targets holds what is no entry");
            }
            endpoints.add(readEndpoint(entry, names));
        }
        long revision = (long) number(list, "rev", 0);
        return new EndpointList(revision, Boolean.TRUE.equals(list.get("all")), endpoints);
    }

    private static ListedEndpoint readEndpoint(Map<?, ?> entry, EndpointNames names)
        throws ProtocolException {
        EndpointPhase phase = switch (text(entry, "state")) {
            case "active" -> EndpointPhase.READY;
            case "left" -> EndpointPhase.REMOVED;
            default -> EndpointPhase.DRAINING;
        };
        long startedAtNanos = (long) Math.max(0, number(entry, "boot_ms", 0)) * NANOS_PER_MILLI;
        EndpointId id = new EndpointId(hash(text(entry, "uid")));
        EndpointKindId kind = new EndpointKindId(numberOfName(text(entry, "model"), names.kinds));
        ZoneId zone = new ZoneId(numberOfName(text(entry, "az"), names.zones));
        CellId cell = new CellId((int) number(entry, "pod_group", 0));
        double weight = names.weight(number(entry, "capacity_hint", 1));
        Endpoint endpoint = new Endpoint(id, kind, zone, cell, startedAtNanos, weight, phase);
        return new ListedEndpoint(endpoint, parseAddress(text(entry, "endpoint")));
    }

    /**
     * Parses an IP address and a port, without resolving host names.
     *
     * @throws ProtocolException if the text is not an IP address, a colon and a port
     */
    public static InetSocketAddress parseAddress(String text) throws ProtocolException {
        int separator = text.lastIndexOf(':');
        long port = separator < 0 ? -1 : NumberParser.parseWhole(text.substring(separator + 1));
        String host = separator < 0 ? "" : text.substring(0, separator);
        boolean isLiteral = host.matches(IPV4) || host.matches(IPV6);
        InetSocketAddress address = isLiteral && port >= 0 && port <= MAX_PORT
            ? new InetSocketAddress(host, (int) port)
            : null;
        if (address == null || address.isUnresolved()) {
            throw new ProtocolException(text + " is no address and port");
        }
        return address;
    }

    /** Returns the number of a name; a number derived from its hash if the settings do not name it. */
    private static int numberOfName(String name, List<String> names) {
        int index = names.indexOf(name);
        return index >= 0 ? index : FIRST_HASHED_NUMBER + (int) (hash(name) & HASHED_NUMBER_MASK);
    }

    /** Returns the 64-bit FNV-1a hash of the UTF-8 bytes of a text; the same in every proxy. */
    public static long hash(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xff) * FNV_PRIME;
        }
        return hash;
    }

    /**
     * Returns the cache key of a key sent by a client: the same in every proxy, never {@link CacheKey#NONE}.
     */
    public static CacheKey cacheKey(String key) {
        long hash = hash(key);
        return new CacheKey(hash == 0 ? 1 : hash);
    }

    private static String text(Map<?, ?> entry, String name) throws ProtocolException {
        if (entry.get(name) instanceof String text) {
            return text;
        }
        throw new ProtocolException("an entry without " + name);
    }

    private static double number(Map<?, ?> entry, String name, double defaultValue)
        throws ProtocolException {
        Object value = entry.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw new ProtocolException(name + " is not a number");
    }
}
