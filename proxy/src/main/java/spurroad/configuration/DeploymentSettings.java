package spurroad.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import spurroad.model.DeduplicationScope;
import spurroad.model.Deployment;
import spurroad.model.Effect;
import spurroad.model.EndpointKindId;
import spurroad.model.Fleet;
import spurroad.model.RequestClass;
import spurroad.model.ZoneId;
import spurroad.protocol.EndpointList;

/**
 * The settings of a deployment, converted to the units and types that the program uses. They are read from a
 * configuration file or from the lines of the simulator. Immutable.
 */
public final class DeploymentSettings {
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final long DEFAULT_CONNECT_TIMEOUT_MICROS = 1_000_000L; // time to resend a lost packet
    private static final long NO_IDLE_TIMEOUT_MICROS = Long.MAX_VALUE / NANOS_PER_MICRO / 4;
    // longer than any pause of discovery
    private static final long DEFAULT_MAX_POLL_INTERVAL_NANOS = 20_000_000_000L;
    private static final int DEFAULT_MAX_OPEN_REQUESTS = 20_000;
    private static final int NO_ORIGIN = -1;
    private static final int NO_ZONE = -1;
    // fraction of a request's value; at this cost and above, a copy in each zone is cheaper than requests
    // across zones
    private static final double MIN_CROSS_ZONE_COST = 0.05;

    /** The input of the load balancer's decisions. */
    public final Deployment deployment;
    /** The names of the columns of load reports, in their order. */
    public final List<String> reportColumns;
    /** The names that are needed to read the entries of an endpoint list. */
    public final EndpointList.EndpointNames endpointNames;
    /** The maximum time to establish a connection to an endpoint, in nanoseconds. */
    public final long connectTimeoutNanos;
    /** The maximum number of requests in progress at once. */
    public final int maxOpenRequests;
    /**
     * The maximum time that a client waits for the final response, over all its attempts, in nanoseconds; 0
     * if the settings do not define it.
     */
    public final long maxRequestTimeoutNanos;
    /** The maximum time that an endpoint list is used without a poll of discovery, in nanoseconds. */
    public final long maxPollIntervalNanos;
    /** The names of the request classes; the index of a name is the number of its class. */
    public final List<String> requestClassNames;
    /** The names of the tenants; the index of a name is the number of its tenant. */
    public final List<String> tenantNames;

    /** Reads lines of the form {@code path=value}; the simulator has validated them. */
    public static DeploymentSettings fromLines(String text) {
        return new DeploymentSettings(SettingsReader.ofLines(text));
    }

    /**
     * Reads and validates a parsed JSON object.
     *
     * @throws InvalidSettingException if a setting is missing or invalid
     */
    public static DeploymentSettings fromJson(Object json) {
        SettingsReader reader = SettingsReader.ofJson(json);
        check(reader);
        return new DeploymentSettings(reader);
    }

    private DeploymentSettings(SettingsReader reader) {
        String weights = reader.text("weights", "off");
        endpointNames = new EndpointList.EndpointNames(reader.list("kinds"), reader.list("failureDomains"),
            weights.equals("nominal") || weights.equals("rough"));
        reportColumns = reader.list("report.columns");
        connectTimeoutNanos = reader.nanosFromMicros("allowed.connectTimeoutUs",
            DEFAULT_CONNECT_TIMEOUT_MICROS);
        maxOpenRequests = Math.max(1, (int) reader.number("allowed.maxOpen", DEFAULT_MAX_OPEN_REQUESTS));
        long pollInterval = reader.nanosFromMicros("obligations.askWithinUs", 0); // 0 if lists are pushed
        maxPollIntervalNanos = pollInterval > 0 ? pollInterval : DEFAULT_MAX_POLL_INTERVAL_NANOS;
        requestClassNames = reader.fieldOfEach("tracks", "name");
        tenantNames = reader.fieldOfEach("projects", "name");
        deployment = deployment(reader);
        maxRequestTimeoutNanos = IntStream.range(0, requestClassNames.size())
            .mapToLong(i -> reader.nanosFromMicros("tracks." + i + ".statementTimeoutUs", 0)).max().orElse(0);
    }

    /** Validates what reading the settings does not: ranges, truth values and duplicate class names. */
    private static void check(SettingsReader reader) {
        reader.checkGreaterThan("allowed.mostExecutions", 0);
        reader.checkFlags("allowed.probes", "allowed.cancel", "allowed.retryAfter", "allowed.peers");
        reader.number("deductions.crossZone", 0);
        reader.checkGreaterThan("balancers", 0);
        reader.checkIndex("index", (int) reader.number("balancers", 1), "settings.balancers");
        reader.checkIndex("myZone", reader.list("failureDomains").size(), "settings.failureDomains");
        Set<String> names = new HashSet<>();
        for (int i = 0, count = reader.requiredCount("tracks"); i < count; i++) {
            checkRequestClass(reader, "tracks." + i + ".", names);
        }
    }

    private static void checkRequestClass(SettingsReader reader, String prefix, Set<String> names) {
        if (!names.add(reader.requiredText(prefix + "name"))) {
            throw new InvalidSettingException("setting " + prefix + "name is that of another class");
        }
        reader.checkGreaterThan(prefix + "sloTimeUs", 0);
        reader.checkGreaterThan(prefix + "statementTimeoutUs", 0);
    }

    /**
     * Returns the keys whose values differ in the other settings and that take effect only after a restart.
     */
    List<String> restartOnlyChanges(DeploymentSettings other) {
        List<String> changed = new ArrayList<>();
        if (!endpointNames.equals(other.endpointNames)) {
            changed.add("settings.kinds, failureDomains, weights");
        }
        if (connectTimeoutNanos != other.connectTimeoutNanos
            || deployment.idleTimeoutNanos() != other.deployment.idleTimeoutNanos()) {
            changed.add("settings.allowed.connectTimeoutUs, idleCloseUs");
        }
        if (!deployment.fleet().equals(other.deployment.fleet())) {
            changed.add("settings.balancers, index, myZone, allowed.peers, deductions.crossZone");
        }
        if (maxOpenRequests != other.maxOpenRequests) {
            changed.add("settings.allowed.maxOpen");
        }
        return changed;
    }

    private static Deployment deployment(SettingsReader reader) {
        List<RequestClass> requestClasses = requestClasses(reader);
        int proxyCount = (int) Math.max(1, reader.number("balancers", 1));
        return new Deployment(requestClasses, tenantRates(reader),
            originKind(reader),
            reader.text("discovery", "pushed").equals("on_request"),
            reader.flag("allowed.probes"),
            reader.flag("allowed.cancel"),
            reader.flag("allowed.retryAfter") ? reader.nanosFromMicros("allowed.maxRetryAfterUs", 0) : 0,
            Math.max(1, (int) reader.number("allowed.mostExecutions", 1)),
            reader.number("obligations.startCapacity", 1),
            reader.nanosFromMicros("obligations.coldUs", 0),
            reader.nanosFromMicros("tickUs", 0),
            reader.nanosFromMicros("allowed.idleCloseUs", NO_IDLE_TIMEOUT_MICROS),
            fleet(reader, proxyCount));
    }

    private static List<RequestClass> requestClasses(SettingsReader reader) {
        List<RequestClass> requestClasses = new ArrayList<>();
        for (int i = 0, count = reader.requiredCount("tracks"); i < count; i++) {
            requestClasses.add(requestClass(reader, "tracks." + i + "."));
        }
        return List.copyOf(requestClasses);
    }

    /** Returns each tenant's allowance divided by the number of proxies, in requests per second. */
    private static List<Double> tenantRates(SettingsReader reader) {
        double proxyCount = Math.max(1, reader.number("balancers", 1));
        List<Double> rates = new ArrayList<>();
        for (int i = 0, count = reader.count("projects"); i < count; i++) {
            rates.add(reader.requiredNumber("projects." + i + ".allowancePerS") / proxyCount);
        }
        return List.copyOf(rates);
    }

    /**
     * Returns the kind of the origin; null if no endpoint is the origin or the cache nodes query it
     * themselves.
     */
    private static EndpointKindId originKind(SettingsReader reader) {
        boolean isCacheAside = reader.text("familyInfo.mode", "through").equals("aside");
        int kind = (int) reader.number("familyInfo.originKind", NO_ORIGIN);
        return isCacheAside && kind >= 0 ? new EndpointKindId(kind) : null;
    }

    private static Fleet fleet(SettingsReader reader, int proxyCount) {
        int zone = (int) reader.number("myZone", NO_ZONE);
        boolean isCrossZoneCostly = reader.number("deductions.crossZone", 0) >= MIN_CROSS_ZONE_COST;
        return new Fleet(zone < 0 || !isCrossZoneCostly ? null : new ZoneId(zone),
            (int) reader.number("index", 0), proxyCount, reader.flag("allowed.peers"));
    }

    private static RequestClass requestClass(SettingsReader reader, String prefix) {
        return new RequestClass(effect(reader, prefix + "effect"),
            deduplicationScope(reader, prefix + "dedupScope"),
            reader.nanosFromMicros(prefix + "dedupWindowUs", 0),
            (long) reader.requiredNumber(prefix + "sloTimeUs") * NANOS_PER_MICRO,
            reader.number(prefix + "aimStretch", 0),
            reader.number(prefix + "importance", 1),
            reader.number(prefix + "tardyImportance", 0));
    }

    private static Effect effect(SettingsReader reader, String path) {
        return switch (reader.requiredText(path)) {
            case "retryable" -> Effect.IDEMPOTENT;
            case "dedup" -> Effect.DEDUPLICATED;
            case "fragile" -> Effect.NON_IDEMPOTENT;
            default -> throw new InvalidSettingException("setting " + path + " has an unknown value");
        };
    }

    private static DeduplicationScope deduplicationScope(SettingsReader reader, String path) {
        return switch (reader.text(path, "cell")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            default -> DeduplicationScope.CELL;
        };
    }
}
