package spurroad.testbed.soak;

/** The kinds of faults, each with what it affects and how long it lasts. */
enum FaultKind {
    /** Shut down gracefully and started again, without an overlap. */
    PROXY_STOPPED(Target.PROXY, 0, 0),
    /** Killed and started again. */
    PROXY_KILLED(Target.PROXY, 0, 0),
    /** Hot restart: the successor serves before the old process shuts down, or is killed. */
    PROXY_UPGRADED(Target.PROXY, 0, 0),
    /** Told to reload its configuration. */
    PROXY_RELOADED(Target.PROXY, 0, 0),
    /** Told twice in a row. */
    PROXY_RELOADED_TWICE(Target.PROXY, 0, 0),
    /** Told to reload a truncated file. */
    PROXY_RELOADED_WITH_A_FAULTY_FILE(Target.PROXY, 0, 0),
    /** Several signals in quick succession: reloads, ends, pauses, in one of several orders. */
    PROXY_GETS_SIGNALS_IN_SERIES(Target.PROXY, 0, 0),
    /** Paused again and again for a moment. */
    PROXY_HELD_UP(Target.PROXY, 1_000, 3_000),
    /** The time of day jumps. */
    CLOCK_STEPPED(Target.PROXY, 1_000, 8_000),
    /** Calls of accept fail at times. */
    ACCEPT_FAILS(Target.PROXY, 300, 3_000),
    /** Calls of socket fail at times. */
    SOCKET_FAILS(Target.PROXY, 300, 3_000),
    /** Calls of connect fail at times. */
    CONNECT_FAILS(Target.PROXY, 300, 3_000),
    /** Reads and writes transfer fewer bytes than asked for. */
    SHORT_READS_AND_WRITES(Target.PROXY, 500, 4_000),
    /** Reads fail as if the peer had reset the connection. */
    CONNECTIONS_BREAK(Target.PROXY, 300, 2_000),
    /** Waits for events are interrupted by signals. */
    WAITS_ARE_INTERRUPTED(Target.PROXY, 500, 4_000),
    /** Writes to the folder of the hot restart fail. */
    FOLDER_TAKES_NOTHING(Target.PROXY, 500, 4_000),
    /** An operator drains a cache node at the proxy. */
    NODE_OUT_BY_HAND(Target.PROXY, 1_000, 5_000),
    /** Many clients connect and send nothing. */
    IDLE_CLIENTS(Target.PROXY, 1_000, 4_000),
    /**
     * More clients than the proxy has descriptors connect within a second: some send nothing, some half a
     * request, some leave. Drawn in some runs only.
     */
    CROWD(Target.PROXY, 1_500, 3_000),
    /** Discovery drains the node, which then restarts. */
    NODE_DRAINED(Target.NODE, 2_000, 5_000),
    /** The node restarts without a drain. */
    NODE_RESTARTED(Target.NODE, 300, 1_500),
    /** The node, or the network to it, drops everything. */
    NODE_SILENT(Target.NODE, 500, 3_000),
    /** The node serves slowly. */
    NODE_SLOW(Target.NODE, 500, 3_000),
    /** The node answers with errors. */
    NODE_FAILS(Target.NODE, 500, 3_000),
    /** The node rejects as busy. */
    NODE_BUSY(Target.NODE, 500, 3_000),
    /** The node resets connections. */
    NODE_RESETS(Target.NODE, 500, 3_000),
    /** The node sends malformed responses. */
    NODE_SPOILS_ANSWERS(Target.NODE, 500, 3_000),
    /** Responses arrive in small pieces. */
    NODE_ANSWERS_IN_PIECES(Target.NODE, 500, 3_000),
    /** The origin drops everything. */
    ORIGIN_SILENT(Target.ORIGIN, 300, 2_000),
    /** The origin serves slowly. */
    ORIGIN_SLOW(Target.ORIGIN, 500, 3_000),
    /** The origin answers with errors, or rejects as busy. */
    ORIGIN_FAILS(Target.ORIGIN, 300, 2_000),
    /** The origin resets connections, or sends malformed responses. */
    ORIGIN_RESETS(Target.ORIGIN, 300, 2_000),
    /** Discovery resets connections. */
    DISCOVERY_DOWN(Target.DISCOVERY, 1_000, 8_000),
    /** Watches stay open without events. */
    DISCOVERY_SILENT(Target.DISCOVERY, 1_000, 6_000),
    /** Discovery responds late. */
    DISCOVERY_SLOW(Target.DISCOVERY, 1_000, 4_000);

    /** What a fault affects. */
    enum Target {
        PROXY, NODE, ORIGIN, DISCOVERY
    }

    final Target target;
    /** The bounds of the duration; both 0 for a fault that happens at one moment. */
    final int minDurationMs;
    final int maxDurationMs;

    FaultKind(Target target, int minDurationMs, int maxDurationMs) {
        this.target = target;
        this.minDurationMs = minDurationMs;
        this.maxDurationMs = maxDurationMs;
    }
}
