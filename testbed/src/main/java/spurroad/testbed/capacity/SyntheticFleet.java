package spurroad.testbed.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import spurroad.control.decide.Endpoint;
import spurroad.control.decide.EndpointState;
import spurroad.control.decide.EndpointStatus;
import spurroad.model.CellId;
import spurroad.model.DeduplicationScope;
import spurroad.model.Deployment;
import spurroad.model.Effect;
import spurroad.model.EndpointId;
import spurroad.model.EndpointKindId;
import spurroad.model.EndpointPhase;
import spurroad.model.Fleet;
import spurroad.model.RequestClass;
import spurroad.model.ZoneId;
import spurroad.protocol.EndpointList;

/** Synthetic cache nodes for measurements, in the forms of proxies, discovery and the control service. */
final class SyntheticFleet {
    static final int ZONES = 173; // of the fleet that is planned for
    static final long SECOND_NANOS = 1_000_000_000L;
    private static final EndpointKindId CACHE = new EndpointKindId(0);
    private static final String CACHE_KIND = "cache-large";
    // Unix time, long before any measurement's clock
    private static final long STARTED_MS = 1_764_547_200_000L;
    private static final long LATENCY_OBJECTIVE_NANOS = SECOND_NANOS;
    private static final long IDLE_TIMEOUT_NANOS = 60 * SECOND_NANOS; // of connections, at nodes
    private static final long TICK_NANOS = 5_000_000L;
    private static final long SLOW_START_NANOS = 8 * SECOND_NANOS;
    private static final double START_CAPACITY = 0.3;
    // requests a second of a proxy; no tenant exceeds it
    private static final double UNREACHED_QUOTA = 1e6;
    private static final int MAX_ATTEMPTS = 4;
    private static final int NODES_PER_CELL = 4;
    private static final int PORT = 11_211;
    private static final ObjectMapper JSON = new ObjectMapper();

    private SyntheticFleet() {}

    /** Returns the deployment settings of a proxy; reads only, all of one tenant. */
    static Deployment deployment(Fleet fleet) {
        RequestClass reads = new RequestClass(Effect.IDEMPOTENT, DeduplicationScope.ALL, 0,
            LATENCY_OBJECTIVE_NANOS,
            0, 1, 0);
        return new Deployment(List.of(reads), List.of(UNREACHED_QUOTA), null, false, true, true,
            2 * SECOND_NANOS,
            MAX_ATTEMPTS, START_CAPACITY, SLOW_START_NANOS, TICK_NANOS, IDLE_TIMEOUT_NANOS, fleet);
    }

    /** Nodes as the decision module knows them. */
    static List<spurroad.model.Endpoint> entries(int count) {
        return IntStream.range(0, count).mapToObj(i -> entry(i, EndpointPhase.READY)).toList();
    }

    static spurroad.model.Endpoint entry(int number, EndpointPhase phase) {
        return new spurroad.model.Endpoint(id(number), CACHE, new ZoneId(number % ZONES),
            new CellId(number / NODES_PER_CELL), 0, 1,
            phase);
    }

    static EndpointId id(int number) {
        return new EndpointId(EndpointList.hash(uid(number)));
    }

    /** The names that discovery's list is read with. */
    static EndpointList.EndpointNames names() {
        return new EndpointList.EndpointNames(List.of(CACHE_KIND),
            IntStream.range(0, ZONES).mapToObj(SyntheticFleet::zone).toList(),
            true);
    }

    /** Discovery's list as a line: nodes in a range of numbers. */
    static String listLine(int from, int count, long revision, boolean whole) {
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("rev", revision);
        list.put("all", whole);
        List<Map<String, Object>> targets = new ArrayList<>();
        IntStream.range(from, from + count).forEach(i -> targets.add(target(i)));
        list.put("targets", targets);
        try {
            return JSON.writeValueAsString(list);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("plain maps can always be written", e);
        }
    }

    private static Map<String, Object> target(int number) {
        Map<String, Object> target = new LinkedHashMap<>();
        target.put("uid", uid(number));
        target.put("endpoint", endpoint(number));
        target.put("az", zone(number % ZONES));
        target.put("model", CACHE_KIND);
        target.put("pod_group", number / NODES_PER_CELL);
        target.put("state", "active");
        target.put("capacity_hint", 1.0);
        target.put("boot_ms", STARTED_MS);
        return target;
    }

    /** Nodes as the control service knows them. */
    static List<Endpoint> members(int count) {
        return IntStream.range(0, count).mapToObj(i -> member(i, EndpointState.ACTIVE)).toList();
    }

    static Endpoint member(int number, EndpointState state) {
        return new Endpoint(uid(number), endpoint(number), zone(number % ZONES), CACHE_KIND, 1,
            new EndpointStatus(STARTED_MS, state));
    }

    private static String uid(int number) {
        return String.format("node-%06d", number);
    }

    private static String zone(int number) {
        return String.format("zone-%03d", number);
    }

    private static String endpoint(int number) {
        return "10." + (number >>> 16 & 0xff) + "." + (number >>> 8 & 0xff) + "." + (number & 0xff) + ":"
            + PORT;
    }
}
