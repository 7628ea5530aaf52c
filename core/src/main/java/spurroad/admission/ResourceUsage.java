package spurroad.admission;

/**
 * The proxy's use of its own resources over the last interval, without that of its endpoints.
 *
 * @param cpuFraction used fraction of its CPU share, from 0; may slightly exceed 1. NaN if unknown
 * @param queueDelayNanos mean time that requests waited in the proxy for the load balancer, in nanoseconds
 * @param memoryFraction used fraction of the memory for requests and responses in progress, from 0 to 1
 */
public record ResourceUsage(double cpuFraction, long queueDelayNanos, double memoryFraction) {
    /** Returns the utilization of the scarcest resource; 1 is full utilization. */
    double maxUtilization(long maxQueueDelayNanos) {
        double cpu = Double.isNaN(cpuFraction) ? 0 : cpuFraction;
        double queue = (double) queueDelayNanos / maxQueueDelayNanos;
        return Math.max(Math.max(cpu, memoryFraction), queue);
    }
}
