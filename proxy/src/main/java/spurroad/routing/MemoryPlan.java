package spurroad.routing;

import spurroad.configuration.ProxyConfiguration;
import spurroad.protocol.MetaCommand;

/**
 * How the memory of a process is divided among budgets, each in bytes.
 *
 * @param requestBytes for requests in flight and responses
 * @param uploadBytes for long values that clients upload
 * @param readAheadBytes for input that clients send before their earlier responses
 * @param replyBytes for replies whose length is not known before they have arrived
 */
record MemoryPlan(long requestBytes, long uploadBytes, long readAheadBytes, long replyBytes) {
    /** Divisor of the process's memory: the quotient is the budget for requests in flight. */
    private static final int REQUEST_MEMORY_DIVISOR = 8;
    /**
     * Divisor of the heap: the quotient bounds the request budget; responses and buffers take more memory.
     */
    private static final int HEAP_DIVISOR = 3;
    /** Divisor of the request memory: the quotient is the budget for read-ahead, which few clients need. */
    private static final int READ_AHEAD_DIVISOR = 4;
    private static final long BYTES_PER_MIB = 1 << 20;

    /** Returns the plan for a configuration in the heap of this process. */
    static MemoryPlan of(ProxyConfiguration configuration) {
        long memory = Math.min(configuration.memoryMb * BYTES_PER_MIB / REQUEST_MEMORY_DIVISOR,
            Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
        long requests = (long) configuration.settings.maxOpenRequests
            * ClientConnections.REQUEST_MEMORY_BYTES;
        long longValues = Math.max(MetaCommand.MAX_VALUE_BYTES, memory / 2);
        return new MemoryPlan(Math.min(memory, requests), longValues, memory / READ_AHEAD_DIVISOR,
            longValues);
    }
}
