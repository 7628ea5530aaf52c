package spurroad.configuration;

/**
 * The number of connections that a process may hold within its limits on descriptors and memory.
 *
 * @param reservedDescriptors descriptors reserved for purposes other than connections to clients and
 *     endpoints
 * @param connectionPermits the maximum number of connections to clients and endpoints together
 */
record CapacityPlan(int reservedDescriptors, int connectionPermits) {
    /** The minimum number of descriptors of a process; fewer would leave none for clients. */
    static final int MIN_DESCRIPTORS = 64;

    // the virtual machine and the event loops use 14 descriptors; the rest is a margin
    private static final int PROCESS_DESCRIPTORS = 20;
    // 16 connections to the admin server, its listener and a margin
    private static final int ADMIN_DESCRIPTORS = 20;
    // the socket for peer updates
    private static final int GOSSIP_DESCRIPTORS = 3;
    // MiB; the virtual machine without load
    private static final double BASE_PROCESS_MB = 45;
    // fraction of the memory; requests may hold an eighth of the memory, and leave garbage to collect
    private static final double HEAP_FRACTION = 0.22;
    // MiB per connection; a connection takes up to 77 KiB
    private static final double CONNECTION_MB = 0.08;
    // a process with too little memory still serves this many, at the risk of exceeding it
    private static final int MIN_PERMITS_BY_MEMORY = 32;

    /**
     * Returns the plan for the descriptors and the memory that the configuration grants, within the limits of
     * the process.
     */
    static CapacityPlan of(int descriptors, int memoryMb, boolean hasAdminServer, boolean gossipEnabled,
                           ProcessLimits limits) {
        int reserved = PROCESS_DESCRIPTORS + (hasAdminServer ? ADMIN_DESCRIPTORS : 0)
            + (gossipEnabled ? GOSSIP_DESCRIPTORS : 0);
        int freeDescriptors = Math.min(descriptors, limits.maxOpenFiles()) - limits.inheritedDescriptors()
            - reserved;
        int permitsByDescriptors = Math.max(MIN_DESCRIPTORS - reserved, freeDescriptors);
        double permitsInMemory = (memoryMb * (1 - HEAP_FRACTION) - BASE_PROCESS_MB) / CONNECTION_MB;
        double permitsByMemory = Math.max(MIN_PERMITS_BY_MEMORY, permitsInMemory);
        return new CapacityPlan(reserved, (int) Math.min(permitsByDescriptors, permitsByMemory));
    }
}
