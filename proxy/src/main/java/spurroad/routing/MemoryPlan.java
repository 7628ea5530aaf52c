package spurroad.routing;

import spurroad.protocol.MetaCommand;

/**
 * How the memory of a process is divided among budgets, each in bytes. Together with what no budget counts
 * they fit into the heap.
 *
 * @param requestBytes for requests in flight and responses
 * @param uploadBytes for long values that clients upload
 * @param readAheadBytes for input that clients send before their earlier responses
 * @param replyBytes for values of replies that are received completely before they are forwarded
 */
record MemoryPlan(long requestBytes, long uploadBytes, long readAheadBytes, long replyBytes) {
    /**
     * What the plan depends on.
     *
     * @param memoryMb the memory that the configuration grants the process, in MiB
     * @param heapBytes the maximum size of the heap
     * @param maxOpenRequests the maximum number of requests in flight
     * @param connections the maximum number of connections to clients and endpoints
     * @param endpoints the number of listed endpoints
     */
    record Limits(int memoryMb, long heapBytes, int maxOpenRequests, int connections, int endpoints) {}

    /** Budget for heads of replies beyond the usual length. */
    static final long REPLY_HEAD_BYTES = 1 << 20;

    private static final long BYTES_PER_MIB = 1 << 20;
    /** Divisor of the process's memory: the quotient is the budget for requests in flight. */
    private static final int REQUEST_MEMORY_DIVISOR = 8;
    /**
     * Divisor of the heap: the quotient bounds the request budget; responses and buffers take more memory.
     */
    private static final int HEAP_DIVISOR = 3;
    /** Divisor of the request memory: the quotient is the budget for read-ahead, which few clients need. */
    private static final int READ_AHEAD_DIVISOR = 4;

    /** Heap of a process without connections, endpoints and requests, with full connections of operators. */
    private static final long BASE_BYTES = 5 * BYTES_PER_MIB;
    /** Divisor of the heap: the quotient is left to garbage, without which collections never end. */
    private static final int GARBAGE_DIVISOR = 10;
    /** The first chunk of a connection's input, which needs no reservation, and its objects. */
    private static final long CONNECTION_BYTES = ReadAheadBuffer.CHUNK_BYTES + 2 * 1024;
    /** State of the load balancer for an endpoint, and its pool. */
    private static final long ENDPOINT_BYTES = 4 * 1024;
    /** The least for requests and read-ahead together, however little is left. */
    private static final long MIN_REQUEST_AND_READ_AHEAD_BYTES = BYTES_PER_MIB;

    /** Returns the plan for the given limits. */
    static MemoryPlan of(Limits limits) {
        long memory = Math.min(limits.memoryMb * BYTES_PER_MIB / REQUEST_MEMORY_DIVISOR,
            limits.heapBytes / HEAP_DIVISOR);
        long requests = Math.min(memory,
            (long) limits.maxOpenRequests * ClientConnections.REQUEST_MEMORY_BYTES);
        long longValues = Math.max(MetaCommand.MAX_VALUE_BYTES, memory / 2);
        MemoryPlan wanted = new MemoryPlan(requests, longValues, memory / READ_AHEAD_DIVISOR, longValues);
        long available = limits.heapBytes - unplannedBytes(limits);
        return wanted.totalBytes() <= available ? wanted : wanted.reducedTo(available);
    }

    /** Returns what of the heap no budget counts. */
    static long unplannedBytes(Limits limits) {
        return BASE_BYTES + REPLY_HEAD_BYTES + limits.heapBytes / GARBAGE_DIVISOR
            + limits.connections * CONNECTION_BYTES
            + limits.endpoints * ENDPOINT_BYTES;
    }

    /** Returns the sum of the budgets. */
    long totalBytes() {
        return requestBytes + uploadBytes + readAheadBytes + replyBytes;
    }

    /** Reduces all budgets in proportion; those for long values still hold one of maximum length. */
    private MemoryPlan reducedTo(long available) {
        double factor = (double) Math.max(0, available) / totalBytes();
        long uploads = Math.max(MetaCommand.MAX_VALUE_BYTES, (long) (uploadBytes * factor));
        long replies = Math.max(MetaCommand.MAX_VALUE_BYTES, (long) (replyBytes * factor));
        long rest = Math.max(MIN_REQUEST_AND_READ_AHEAD_BYTES, available - uploads - replies);
        long requests = (long) (rest * ((double) requestBytes / (requestBytes + readAheadBytes)));
        return new MemoryPlan(requests, uploads, rest - requests, replies);
    }
}
