package spurroad.testbed.scenario;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import spurroad.model.Effect;
import spurroad.testbed.scenario.Scenario.Clients;
import spurroad.testbed.scenario.Scenario.Customer;
import spurroad.testbed.scenario.Scenario.Fault;
import spurroad.testbed.scenario.Scenario.Load;
import spurroad.testbed.scenario.Scenario.NodeGroup;
import spurroad.testbed.scenario.Scenario.Retry;
import spurroad.testbed.scenario.Scenario.Rules;
import spurroad.testbed.scenario.Scenario.Service;
import spurroad.testbed.scenario.Scenario.Track;
import spurroad.testbed.scenario.Scenario.World;
import spurroad.toml.DurationFormat;
import spurroad.toml.InvalidFileException;
import spurroad.toml.TomlFile;
import spurroad.toml.TomlTable;

/** Reads scenarios from TOML files; docs/operators/experiments.md describes all keys. */
public final class ScenarioFile {
    private static final long MICROSECOND = 1_000L; // in nanoseconds, as all units here
    private static final long MILLISECOND = 1_000 * MICROSECOND;
    private static final long SECOND = 1_000 * MILLISECOND;
    private static final long HOUR = 3600 * SECOND;
    private static final double ROUNDING_ERROR = 1e-6; // of parts of a whole, which have to come to one
    private static final int MAX_NAMES_SHOWN = 12; // in a diagnostic

    private ScenarioFile() {}

    /** Reads a file; throws all that is wrong with it at once. */
    public static Scenario read(Path path) throws InvalidFileException {
        return read(TomlFile.read(path));
    }

    /** Parses a text; the name is the one under which diagnostics are reported. */
    public static Scenario of(String name, String text) throws InvalidFileException {
        return of(name, text, Map.of());
    }

    /** Parses a text with other values for some keys; these become part of the scenario's name. */
    public static Scenario of(String name, String text, Map<String, String> overrides)
        throws InvalidFileException {
        TomlFile file = TomlFile.parse(name, text);
        for (Map.Entry<String, String> override : overrides.entrySet()) {
            file.override(override.getKey(), override.getValue());
        }
        Scenario scenario = read(file);
        return overrides.isEmpty() ? scenario
            : new Scenario(scenario.name() + overrides, scenario.about(), scenario.warmNs(),
                scenario.lengthNs(), scenario.world(), scenario.load(), scenario.faults(), scenario.rules(),
                scenario.seeds());
    }

    private static Scenario read(TomlFile file) throws InvalidFileException {
        TomlTable root = file.root();
        String name = root.requireString("name");
        String about = root.getString("about", "");
        long length = root.requireDurationNanos("length", SECOND, HOUR);
        long warmUp = root.getDurationNanos("warm", 2 * SECOND, 0, HOUR);
        if (warmUp >= length) {
            root.addDiagnostic("warm",
                "leaves nothing to count; expected less than length, " + DurationFormat.format(length));
        }
        World world = world(root.getTable("world"));
        Load load = load(root.getTable("load"));
        List<Fault> faults = new ArrayList<>();
        for (TomlTable table : root.getTables("faults")) {
            FaultKind kind = table.requireEnum("kind", FaultKind.class);
            faults.add(kind == null ? faultOfUnknownKind(table, length) : fault(table, kind, world, length));
        }
        Rules rules = rules(root.getTable("rules"));
        List<Long> seeds = root.getLongs("seeds");
        file.validate();
        return new Scenario(name, about, warmUp, length, world, load, List.copyOf(faults), rules,
            seeds.isEmpty() ? List.of(1L) : seeds);
    }

    private static World world(TomlTable table) {
        List<NodeGroup> groups = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlTable groupTable : table.getTables("nodes")) {
            NodeGroup group = nodeGroup(groupTable);
            groups.add(group);
            if (!names.add(group.name())) {
                groupTable.addDiagnostic("name",
                    "is \"" + group.name() + "\" a second time; expected another");
            }
        }
        if (groups.isEmpty()) {
            table.addDiagnostic("nodes", "is missing; expected at least one [[world.nodes]]");
        }
        return new World(
            table.getInt("proxies", 1, 1, 1000),
            table.getDouble("cores", 1, 0.01, 64),
            table.getInt("memory-mb", 192, 64, 1 << 16),
            table.getInt("sockets", 1024, 64, 1 << 20),
            List.copyOf(groups),
            service(table.getTable("origin"), 32, 128, 30 * MILLISECOND),
            table.getDurationNanos("list-delay", 100 * MILLISECOND, 0, HOUR),
            table.getDurationNanos("one-way", 200 * MICROSECOND, 0, SECOND));
    }

    private static NodeGroup nodeGroup(TomlTable table) {
        return new NodeGroup(
            table.requireString("name"),
            table.getInt("count", 1, 1, 10_000),
            table.getString("zone", "z1"),
            table.getString("kind", "m1"),
            table.getDouble("weight", 1, 0.01, 1000),
            table.getDouble("speed", 1, 0.001, 1000),
            service(table, 8, 64, 5 * MILLISECOND),
            table.getInt("keys", 5000, 0, 100_000_000),
            table.getDurationNanos("keep", 60 * SECOND, MILLISECOND, 100 * HOUR),
            table.getInt("connections", 512, 1, 1 << 20),
            table.getDurationNanos("connect-cost", MILLISECOND, 0, SECOND),
            table.getDurationNanos("report-age", 100 * MILLISECOND, 0, HOUR),
            table.getDurationNanos("warm-up", 9 * SECOND, 0, HOUR),
            table.getDouble("start-share", 0.3, 0.01, 1));
    }

    private static Service service(TomlTable table, int defaultSlots, int defaultQueue,
                                   long defaultMeanNanos) {
        return new Service(
            table.getInt("slots", defaultSlots, 1, 100_000),
            table.getInt("queue", defaultQueue, 0, 1_000_000),
            table.getDurationNanos("service", defaultMeanNanos, MICROSECOND, 100 * SECOND),
            table.getDouble("spread", 0.5, 0, 1));
    }

    private static Load load(TomlTable table) {
        List<Customer> tenants = tenants(table);
        List<Track> requestClasses = requestClasses(table);
        return new Load(
            table.requireDouble("rate", 0.1, 1e6),
            table.getInt("keys", 2000, 1, 100_000_000),
            table.getDouble("zipf", 0.9, 0, 3),
            table.getDouble("drift", 0, 0, 1e6),
            table.getInt("connections", 64, 1, 100_000),
            table.getInt("value-bytes", 200, 40, 65_000),
            table.getDouble("long-part", 0, 0, 1),
            table.getInt("long-bytes", 60_000, 40, 1_000_000),
            List.copyOf(tenants), List.copyOf(requestClasses), clients(table.getTable("clients")));
    }

    private static Clients clients(TomlTable table) {
        return new Clients(
            table.getInt("tries", 3, 1, 100),
            table.getEnum("retry", Retry.class, Retry.AS_TOLD),
            table.getDurationNanos("patience", 1500 * MILLISECOND, MILLISECOND, HOUR));
    }

    /** Returns the tenants; a single one, without a quota to speak of, where none is named. */
    private static List<Customer> tenants(TomlTable load) {
        List<Customer> tenants = new ArrayList<>();
        for (TomlTable table : load.getTables("customers")) {
            tenants.add(new Customer(table.requireString("name"), table.requireDouble("part", 0, 1),
                table.getDouble("share", 1e6, 0, 1e9)));
        }
        if (tenants.isEmpty()) {
            tenants.add(new Customer("all", 1, 1e6));
        }
        checkSum(load, "customers", tenants.stream().mapToDouble(Customer::part).sum());
        return tenants;
    }

    /** Returns the request classes; a single one of idempotent reads where none is named. */
    private static List<Track> requestClasses(TomlTable load) {
        List<Track> requestClasses = new ArrayList<>();
        for (TomlTable table : load.getTables("tracks")) {
            requestClasses.add(requestClass(table));
        }
        if (requestClasses.isEmpty()) {
            requestClasses.add(new Track("read", 1, Effect.IDEMPOTENT, false, 300 * MILLISECOND,
                1000 * MILLISECOND, 0, 1, 0.3));
        }
        checkSum(load, "tracks", requestClasses.stream().mapToDouble(Track::part).sum());
        return requestClasses;
    }

    private static void checkSum(TomlTable table, String key, double sum) {
        if (Math.abs(sum - 1) > ROUNDING_ERROR) {
            table.addDiagnostic(key, "has parts that come to " + sum + "; expected 1 in all");
        }
    }

    private static Track requestClass(TomlTable table) {
        Effect effect = table.getEnum("effect", Effect.class, Effect.IDEMPOTENT);
        long latencyObjective = table.getDurationNanos("slo", 300 * MILLISECOND, MILLISECOND, HOUR);
        long timeout = table.getDurationNanos("timeout", 1000 * MILLISECOND, MILLISECOND, HOUR);
        if (timeout < latencyObjective) {
            table.addDiagnostic("timeout", "is shorter than the SLO time, "
                + DurationFormat.format(latencyObjective) + "; expected as much at least");
        }
        long defaultDedupWindow = effect == Effect.DEDUPLICATED ? 2500 * MILLISECOND : 0;
        return new Track(
            table.requireString("name"),
            table.requireDouble("part", 0, 1),
            effect,
            table.getBoolean("write", effect != Effect.IDEMPOTENT),
            latencyObjective,
            timeout,
            table.getDurationNanos("dedup-window", defaultDedupWindow, 0, HOUR),
            table.getDouble("importance", 1, 0, 1e6),
            table.getDouble("late", 0.3, 0, 1));
    }

    /** Reads the keys that every kind may have, so that only the kind is reported as wrong. */
    private static Fault faultOfUnknownKind(TomlTable table, long length) {
        long start = table.requireDurationNanos("at", 0, HOUR);
        long duration = table.getDurationNanos("for", length, 0, HOUR);
        table.getDouble("factor", 1, 0, 1000);
        return new Fault(null, start, duration, table.getStrings("targets"), 1);
    }

    private static Fault fault(TomlTable table, FaultKind kind, World world, long length) {
        long start = table.requireDurationNanos("at", 0, HOUR);
        long duration = table.getDurationNanos("for", length, 0, HOUR);
        double factor = kind.hasFactor ? table.requireDouble("factor", 0, 1000) : 1;
        if (start >= length) {
            table.addDiagnostic("at",
                "is after the end of the load; expected less than " + DurationFormat.format(length));
        }
        List<String> targets = kind.target == FaultKind.Target.NONE ? List.of()
            : targets(table, allowedTargets(kind, world));
        return new Fault(kind, start, duration, targets, factor);
    }

    private static List<String> allowedTargets(FaultKind kind, World world) {
        return switch (kind.target) {
            case NODES -> world.uids();
            case ZONES -> world.zones();
            case PROXIES -> proxies(world);
            case NONE -> List.of();
        };
    }

    private static List<String> targets(TomlTable table, List<String> allowed) {
        List<String> targets = table.getStrings("targets");
        if (targets.isEmpty()) {
            table.addDiagnostic("targets", "is missing; expected some of " + firstFew(allowed));
        }
        for (String target : targets) {
            if (!allowed.contains(target)) {
                table.addDiagnostic("targets",
                    "names \"" + target + "\"; expected some of " + firstFew(allowed));
            }
        }
        return targets;
    }

    /** Returns the names of all proxies of an environment, in order. */
    public static List<String> proxies(World world) {
        return IntStream.range(0, world.proxies()).mapToObj(i -> "p-" + i).toList();
    }

    private static String firstFew(List<String> names) {
        if (names.size() <= MAX_NAMES_SHOWN) {
            return String.join(", ", names);
        }
        return String.join(", ", names.subList(0, MAX_NAMES_SHOWN)) + " and "
            + (names.size() - MAX_NAMES_SHOWN) + " more";
    }

    private static Rules rules(TomlTable table) {
        return new Rules(
            table.getDurationNanos("grace", 2 * SECOND, 0, HOUR),
            table.getDurationNanos("answer", 50 * MILLISECOND, 0, HOUR),
            table.getBoolean("unanswered", false),
            table.getDurationNanos("rig-late", 20 * MILLISECOND, MICROSECOND, SECOND));
    }
}
