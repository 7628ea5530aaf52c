package spurroad.testbed.environment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import java.util.function.LongSupplier;
import spurroad.testbed.model.Origin;
import spurroad.testbed.scenario.Scenario;
import spurroad.testbed.scenario.Scenario.NodeGroup;
import spurroad.testbed.scenario.Scenario.Track;

/** Writes the JSON that the platform gives to proxies: their configuration, and discovery's endpoint list. */
public final class ProxyFile {
    private static final long NS_PER_US = 1_000L;
    private static final long NS_PER_MS = 1_000_000L;
    private static final String ORIGIN_KIND = "origin";
    private static final int CLOCK_TICK_MICROS = 5_000;
    private static final int CONNECT_TIMEOUT_MICROS = 250_000;
    private static final int IDLE_TIMEOUT_MICROS = 60_000_000;
    private static final int MAX_CONNECTIONS = 20_000;
    private static final int MAX_RETRY_AFTER_MICROS = 2_000_000;
    private static final int MAX_ATTEMPTS = 6;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Environment environment;
    private final IntFunction<String> endpoint;
    private final LongSupplier epochMs;

    /**
     * Creates a writer for one environment.
     *
     * @param endpoint returns the address and port of a place of the list
     * @param epochMs returns the Unix time at which the timeline began, in milliseconds
     */
    public ProxyFile(Environment environment, IntFunction<String> endpoint, LongSupplier epochMs) {
        this.environment = environment;
        this.endpoint = endpoint;
        this.epochMs = epochMs;
    }

    /** Returns the configuration of a proxy that starts at this moment. */
    public String configuration(int proxy, String listen, String discovery) {
        Scenario.World world = environment.scenario.world();
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("cores", world.cores());
        limits.put("memory_mb", world.memoryMb());
        limits.put("sockets", world.sockets());
        Map<String, Object> file = new LinkedHashMap<>();
        file.put("name", "p-" + proxy);
        file.put("listen", listen);
        file.put("discovery", discovery);
        file.put("seed", Long.toHexString(environment.seed * 1000 + proxy + 1));
        file.put("limits", limits);
        file.put("known", list(0));
        file.put("settings", settings());
        return json(file);
    }

    /** Returns the published list: what changed after a revision, or all of it with 0. */
    public String listText(long afterRevision) {
        return json(list(afterRevision));
    }

    private Map<String, Object> list(long afterRevision) {
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("rev", environment.members.revision());
        list.put("all", afterRevision == 0);
        list.put("targets", environment.members.since(afterRevision).stream().map(this::target).toList());
        return list;
    }

    private Map<String, Object> target(Membership.Entry entry) {
        NodeGroup group = entry.group();
        boolean isOrigin = entry.uid().equals(Origin.UID);
        Map<String, Object> target = new LinkedHashMap<>();
        target.put("uid", entry.uid());
        target.put("endpoint", endpoint.apply(entry.place()));
        target.put("az", isOrigin ? environment.scenario.world().zones().get(0) : group.zone());
        target.put("model", isOrigin ? ORIGIN_KIND : group.kind());
        target.put("pod_group", isOrigin ? 0 : 1);
        target.put("state", switch (entry.state()) {
            case ACTIVE -> "active";
            case LEAVING -> "leaving";
            case LEFT -> "left";
        });
        target.put("capacity_hint", isOrigin ? 1 : group.weight());
        target.put("boot_ms",
            entry.startedAt() < 0 ? 0 : epochMs.getAsLong() + entry.startedAt() / NS_PER_MS);
        return target;
    }

    private Map<String, Object> settings() {
        Scenario scenario = environment.scenario;
        List<String> kinds = new ArrayList<>(scenario.world().kinds());
        kinds.add(ORIGIN_KIND);
        NodeGroup firstGroup = scenario.world().nodes().get(0);
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("tickUs", CLOCK_TICK_MICROS);
        settings.put("balancers", scenario.world().proxies());
        settings.put("discovery", "on_request");
        settings.put("kinds", kinds);
        settings.put("failureDomains", scenario.world().zones());
        settings.put("weights", "nominal");
        settings.put("familyInfo", Map.of("mode", "aside", "originKind", kinds.size() - 1));
        settings.put("projects", scenario.load().customers().stream()
            .map(c -> Map.of("name", c.name(), "allowancePerS", c.share())).toList());
        settings.put("allowed", Map.of(
            "cancel", true,
            "probes", true,
            "retryAfter", true,
            "maxRetryAfterUs", MAX_RETRY_AFTER_MICROS,
            "mostExecutions", MAX_ATTEMPTS,
            "connectTimeoutUs", CONNECT_TIMEOUT_MICROS,
            "idleCloseUs", IDLE_TIMEOUT_MICROS,
            "maxOpen", MAX_CONNECTIONS));
        settings.put("obligations", Map.of("coldUs", firstGroup.warmUpNs() / NS_PER_US,
            "startCapacity", firstGroup.startShare()));
        settings.put("report", Map.of("columns", List.of("rif")));
        settings.put("tracks", scenario.load().tracks().stream()
            .map(track -> requestClass(track, scenario.load().clients().patienceNs())).toList());
        return settings;
    }

    private static Map<String, Object> requestClass(Track requestClass, long patienceNanos) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("name", requestClass.name());
        settings.put("effect", switch (requestClass.effect()) {
            case IDEMPOTENT -> "retryable";
            case DEDUPLICATED -> "dedup";
            case NON_IDEMPOTENT -> "fragile";
        });
        settings.put("dedupScope", "all");
        settings.put("dedupWindowUs", requestClass.dedupNs() / NS_PER_US);
        settings.put("sloTimeUs", requestClass.sloNs() / NS_PER_US);
        settings.put("statementTimeoutUs", patienceNanos / NS_PER_US);
        settings.put("importance", requestClass.importance());
        settings.put("tardyImportance", requestClass.late() * requestClass.importance());
        return settings;
    }

    private static String json(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("plain maps can always be written", e);
        }
    }
}
