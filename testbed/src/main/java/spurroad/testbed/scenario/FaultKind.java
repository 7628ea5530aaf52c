package spurroad.testbed.scenario;

/**
 * The kinds of faults that a scenario can inject. Each begins at its time and is undone after its duration.
 */
public enum FaultKind {
    /** Cache nodes serve at a factor of their speed (0.2: five times as slow). */
    SLOW(Target.NODES, true),
    /** Cache nodes accept requests and never answer; connections stay up. */
    SILENT(Target.NODES, false),
    /** Cache nodes answer a fraction of the requests with a failure. */
    FAILING(Target.NODES, true),
    /** Cache nodes come and go: down for half of each period of one second. */
    FLAPPING(Target.NODES, false),
    /** New connections to cache nodes are never established; open ones keep working. */
    HALF_OPEN(Target.NODES, false),
    /** Requests reach cache nodes and run there; no byte comes back. */
    CUT_BACK(Target.NODES, false),
    /** A fraction of the answers of cache nodes is corrupt: noise, wrong lengths, another request's id. */
    SPOILT(Target.NODES, true),
    /** Cache nodes vanish without notice, and come back cold at the end. */
    LOST(Target.NODES, false),
    /** All cache nodes of zones vanish without notice, and come back cold at the end. */
    LOST_ZONE(Target.ZONES, false),
    /** Cache nodes are draining; at the end they are removed. */
    DRAIN(Target.NODES, false),
    /** Cache nodes are replaced by cold ones with other ids at the same addresses. */
    REPLACED(Target.NODES, false),
    /** Cache nodes lose all cached values. */
    FLUSHED(Target.NODES, false),
    /** Changes of the endpoint list reach no proxy until the end. */
    LATE_LIST(Target.NONE, false),
    /** Proxies are stopped, and continued at the end. */
    PROXY_STOPPED(Target.PROXIES, false),
    /** Proxies are killed, and started again at the end. */
    PROXY_KILLED(Target.PROXIES, false),
    /** Proxies get a fraction of a core only. */
    PROXY_SHARE(Target.PROXIES, true),
    /** Requests come at a multiple of their rate. */
    BURST(Target.NONE, true),
    /** A fraction of all reads is for one key. */
    HOT_KEY(Target.NONE, true),
    /** The origin serves at a factor of its speed. */
    ORIGIN_SLOW(Target.NONE, true);

    /** What a fault affects. */
    public enum Target { NODES, ZONES, PROXIES, NONE }

    public final Target target;
    /** Whether it has a strength, which is a factor or a fraction. */
    public final boolean hasFactor;

    FaultKind(Target target, boolean hasFactor) {
        this.target = target;
        this.hasFactor = hasFactor;
    }
}
