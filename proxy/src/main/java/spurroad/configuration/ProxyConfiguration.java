package spurroad.configuration;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import spurroad.model.Fleet;
import spurroad.protocol.EndpointList;
import spurroad.protocol.Json;
import spurroad.protocol.ProtocolException;

/** The configuration of a proxy process, read from a JSON file and environment variables. Immutable. */
public final class ProxyConfiguration {
    private static final String FILE_VARIABLE = "BALANCER_CONFIG";
    private static final String LISTEN_DESCRIPTOR_VARIABLE = "BALANCER_LISTEN_FD";
    private static final String INHERITED_DESCRIPTOR = "0";
    // takes precedence over the file, as each process of a proxy has its own admin address
    private static final String ADMIN_VARIABLE = "BALANCER_ADMIN_ADDR";
    private static final String ADMIN_KEY = "admin_addr";
    private static final String SETTINGS_KEY = "settings";

    private static final double DEFAULT_MEMORY_MB = 192; // the smallest tested size
    private static final double DEFAULT_DESCRIPTORS = 1024; // the usual limit of a Linux process
    private static final double DEFAULT_CORES = 1;
    private static final double MIN_CORES = 0.01;
    private static final double MIN_MEMORY_MB = 64; // the virtual machine alone takes 45 MiB

    /**
     * The keys whose changes need no restart: a reload applies them, or each process start sets them anew.
     */
    private static final Set<String> KEYS_WITHOUT_RESTART = Set.of("discovery", "seed", "known", ADMIN_KEY);

    /** The name of the proxy in its deployment. */
    public final String name;
    /** The address that clients connect to. */
    public final InetSocketAddress listenAddress;
    /** The address of discovery, which serves the endpoint list. */
    public final InetSocketAddress discoveryAddress;
    /** The address of the admin server; null if there is none. */
    public final InetSocketAddress adminAddress;
    /** The seed of all random number generators. */
    public final long seed;
    /** The memory of the process, in MiB. */
    public final int memoryMb;
    /** The number of the inherited descriptor to listen on; empty if the process opens its own socket. */
    public final String listenDescriptor;
    /** The directory that the processes of one proxy share for hot restarts; null if there is none. */
    public final Path restartDirectory;
    /** The number of cores of the process; may be a fraction of a core. */
    public final double cores;
    /**
     * The maximum number of connections to clients and endpoints within the limits on descriptors and memory.
     */
    public final int connectionPermits;
    /** The number of descriptors reserved for purposes other than connections to clients and endpoints. */
    public final int reservedDescriptors;
    /** The endpoints known at startup. */
    public final EndpointList initialEndpoints;
    /**
     * The peer update addresses of the deployment's proxies, indexed by proxy number; empty without gossip.
     */
    public final List<InetSocketAddress> peerAddresses;
    /** The settings of the deployment. */
    public final DeploymentSettings settings;

    private final Map<?, ?> parsedFile;

    /**
     * Reads the file that the environment names.
     *
     * @throws InvalidSettingException if the file can't be read or a setting is missing or invalid
     */
    public static ProxyConfiguration fromEnvironment(Map<String, String> environment) {
        String path = environment.get(FILE_VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new InvalidSettingException(
                FILE_VARIABLE + " is not set: expected the path of a JSON file");
        }
        try {
            return new ProxyConfiguration(Files.readString(Path.of(path)), environment,
                ProcessLimits.ofThisProcess());
        } catch (IOException e) {
            throw new InvalidSettingException(FILE_VARIABLE + ": can't read " + path);
        }
    }

    /** Parses the text of a file, with an empty environment. */
    public ProxyConfiguration(String text) {
        this(text, Map.of());
    }

    /** Parses the text of a file and the environment variables. */
    public ProxyConfiguration(String text, Map<String, String> environment) {
        this(text, environment, ProcessLimits.NONE);
    }

    /** Parses the text of a file and the environment variables, for a process with the given limits. */
    ProxyConfiguration(String text, Map<String, String> environment, ProcessLimits processLimits) {
        parsedFile = parse(text);
        name = JsonFields.text(parsedFile, "name");
        listenAddress = JsonFields.address(parsedFile, "listen");
        discoveryAddress = JsonFields.address(parsedFile, "discovery");
        adminAddress = adminAddress(parsedFile, environment);
        seed = JsonFields.hexadecimal(parsedFile, "seed");
        listenDescriptor = listenDescriptor(environment);
        restartDirectory = restartDirectory(environment);
        Map<?, ?> limits = parsedFile.get("limits") == null ? Map.of()
            : JsonFields.object(parsedFile.get("limits"), "limits");
        memoryMb = (int) JsonFields.number(limits, "limits.", "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB);
        cores = JsonFields.number(limits, "limits.", "cores", DEFAULT_CORES, MIN_CORES);
        int descriptors = (int) JsonFields.number(limits, "limits.", "sockets", DEFAULT_DESCRIPTORS,
            CapacityPlan.MIN_DESCRIPTORS);
        settings = DeploymentSettings.fromJson(JsonFields.object(parsedFile.get(SETTINGS_KEY), SETTINGS_KEY));
        Fleet fleet = settings.deployment.fleet();
        peerAddresses = fleet.gossipEnabled() ? peerAddresses(parsedFile, fleet) : List.of();
        CapacityPlan capacity = CapacityPlan.of(descriptors, memoryMb, adminAddress != null,
            fleet.gossipEnabled(), processLimits);
        reservedDescriptors = capacity.reservedDescriptors();
        connectionPermits = capacity.connectionPermits();
        initialEndpoints = initialEndpoints(parsedFile, settings);
    }

    private static Map<?, ?> parse(String text) {
        try {
            return JsonFields.object(Json.read(text), "the whole");
        } catch (ProtocolException e) {
            throw new InvalidSettingException(FILE_VARIABLE + " is " + e.getMessage());
        }
    }

    private static InetSocketAddress adminAddress(Map<?, ?> file, Map<String, String> environment) {
        if (!environment.getOrDefault(ADMIN_VARIABLE, "").isEmpty()) {
            return JsonFields.address(environment, ADMIN_VARIABLE);
        }
        return file.containsKey(ADMIN_KEY) ? JsonFields.address(file, ADMIN_KEY) : null;
    }

    private static String listenDescriptor(Map<String, String> environment) {
        String descriptor = environment.getOrDefault(LISTEN_DESCRIPTOR_VARIABLE, "");
        if (!descriptor.isEmpty() && !descriptor.equals(INHERITED_DESCRIPTOR)) {
            throw new InvalidSettingException(LISTEN_DESCRIPTOR_VARIABLE + " is " + descriptor
                + ": expected 0, the only descriptor that the virtual machine takes over");
        }
        return descriptor;
    }

    private Path restartDirectory(Map<String, String> environment) {
        String temporaryDirectory = environment.getOrDefault("TMPDIR", "");
        boolean isShared = !temporaryDirectory.isEmpty() && !listenDescriptor.isEmpty();
        return isShared ? Path.of(temporaryDirectory, "spurroad-" + name) : null;
    }

    /** Reads the addresses of the proxies: one per proxy of the deployment, all different. */
    private static List<InetSocketAddress> peerAddresses(Map<?, ?> file, Fleet fleet) {
        if (!(file.get("proxies") instanceof List<?> listed) || listed.size() != fleet.proxyCount()) {
            throw new InvalidSettingException("proxies does not list " + fleet.proxyCount()
                + " addresses, as settings.allowed.peers and settings.balancers ask for");
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (Object entry : listed) {
            String key = "proxies." + addresses.size();
            InetSocketAddress address = JsonFields.address(Map.of(key, entry), key);
            if (address.getPort() == 0 || addresses.contains(address)) {
                throw new InvalidSettingException(key + " has no port or is that of another proxy");
            }
            addresses.add(address);
        }
        return addresses;
    }

    private static EndpointList initialEndpoints(Map<?, ?> file, DeploymentSettings settings) {
        try {
            return EndpointList.read(JsonFields.object(file.get("known"), "known"), settings.endpointNames);
        } catch (ProtocolException e) {
            throw new InvalidSettingException("known holds " + e.getMessage());
        }
    }

    /**
     * Returns the keys whose values differ in another configuration and that take effect only after a
     * restart: all keys except those that a reload applies.
     */
    public List<String> restartOnlyChanges(ProxyConfiguration other) {
        Set<Object> keys = new TreeSet<>(Comparator.comparing(String::valueOf));
        keys.addAll(parsedFile.keySet());
        keys.addAll(other.parsedFile.keySet());
        keys.removeAll(KEYS_WITHOUT_RESTART);
        keys.remove(SETTINGS_KEY); // compared one by one below
        keys.removeIf(key -> Objects.equals(parsedFile.get(key), other.parsedFile.get(key)));
        List<String> changed = new ArrayList<>(keys.stream().map(String::valueOf).toList());
        changed.addAll(settings.restartOnlyChanges(other.settings));
        return changed;
    }

    /**
     * Checks that a configuration read at a reload has all keys of this one, the current configuration.
     *
     * @throws InvalidSettingException if a key is missing or its value is of another type
     */
    public void checkReplacement(ProxyConfiguration next) {
        ReplacementCheck.check(parsedFile, next.parsedFile);
    }
}
