package spurroad.testbed.soak;

/**
 * The settings of a run, and of the proxies in it.
 *
 * @param seed the seed of the fault schedule, and of the random behavior of clients and servers
 * @param seconds how long clients send requests
 * @param proxies the number of proxies, each of which is one process, or two during a hot restart
 * @param nodes the number of cache nodes
 * @param planted the violation that is planted
 * @param limits the limits of each proxy, for all of its processes together
 */
public record SoakSettings(long seed, int seconds, int proxies, int nodes, PlantedFault planted,
                           Limits limits) {
    /**
     * What the processes of a proxy may hold.
     *
     * @param memoryMb resident memory in MiB
     * @param descriptors the number of open file descriptors
     */
    public record Limits(int memoryMb, int descriptors) {}

    static final Limits DEFAULT_LIMITS = new Limits(192, 256);
    static final int MIN_TIMEOUT_MS = 150;
    static final int MAX_TIMEOUT_MS = 1_500;
    /** A process that was told to end may be killed 0.7 s after the longest timeout. */
    static final long KILL_AFTER_MS = MAX_TIMEOUT_MS + 700;
    /** For so long a process that was told to end still has to accept connections. */
    static final long STILL_ACCEPTING_MS = 400;
    /** A process may be paused for so long without a violation. */
    static final long PAUSE_MS = 150;
    private static final int MICROS_PER_MILLI = 1_000;

    /** Creates settings with the default limits. */
    public SoakSettings(long seed, int seconds, int proxies, int nodes, PlantedFault planted) {
        this(seed, seconds, proxies, nodes, planted, DEFAULT_LIMITS);
    }

    /** Returns whether discovery pushes changes to proxies, which depends on the seed. */
    private boolean isDiscoveryPushed() {
        return seed % 2 == 0;
    }

    /** Returns whether proxies may send queue probes, which depends on the seed. */
    private boolean areProbesAllowed() {
        return seed % 3 != 0;
    }

    /**
     * Returns the configuration of a proxy as JSON.
     *
     * @param port where clients connect
     * @param discoveryPort where discovery listens
     * @param endpointList the endpoint list that the proxy starts with, as JSON
     */
    String configuration(int proxy, int port, int discoveryPort, String endpointList) {
        return ("{'name':'p-" + proxy + "','listen':'127.0.0.1:" + port + "','discovery':'127.0.0.1:"
            + discoveryPort + "','seed':'" + Long.toHexString(seed * 1_000 + proxy + 1)
            + "','limits':{'cores':1.0,'memory_mb':" + limits.memoryMb + ",'sockets':"
            + limits.descriptors + "},'known':KNOWN,'settings':" + deploymentSettings() + "}")
            .replace('\'', '"').replace("KNOWN", endpointList);
    }

    private String deploymentSettings() {
        return "{'tickUs':5000,'discovery':'" + (isDiscoveryPushed() ? "pushed" : "on_request")
            + "','kinds':['m1','origin'],'failureDomains':['a'],"
            + "'familyInfo':{'mode':'aside','originKind':1},'balancers':" + proxies
            + ",'projects':[{'name':'acme','allowancePerS':100000}],"
            + "'obligations':{'startCapacity':0.3,'coldUs':2000000,'askWithinUs':4000000},"
            + "'allowed':{'cancel':true,'probes':" + areProbesAllowed()
            + ",'retryAfter':true,'maxRetryAfterUs':500000,"
            + "'mostExecutions':4,'connectTimeoutUs':250000,'idleCloseUs':5000000},"
            + "'report':{'columns':['inflight']},'tracks':["
            + requestClass("read", "retryable", 1, "") + ","
            + requestClass("put", "dedup", 3, ",'dedupScope':'all','dedupWindowUs':"
                + FakeServer.DEDUPLICATION_WINDOW_MS * MICROS_PER_MILLI)
            + "," + requestClass("once", "fragile", 5, "") + "]}";
    }

    private static String requestClass(String name, String effect, int importance, String moreFields) {
        return "{'name':'" + name + "','effect':'" + effect + "','sloTimeUs':600000,'statementTimeoutUs':"
            + MAX_TIMEOUT_MS * MICROS_PER_MILLI + ",'importance':" + importance + moreFields + "}";
    }
}
