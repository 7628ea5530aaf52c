package spurroad.routing;

import spurroad.admission.AdmissionPolicy;
import spurroad.admission.ResourceUsage;
import spurroad.admission.ServiceLevel;
import spurroad.configuration.ProxyConfiguration;
import spurroad.model.Deployment;
import spurroad.model.RequestClass;
import spurroad.protocol.MetaResponse;
import spurroad.transport.CpuClock;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;
import spurroad.transport.MemoryBudget;

/**
 * Measures the resource usage of this proxy for {@link AdmissionPolicy}, and rejects requests by the policy's
 * decision before they reserve any resource. Used on the event loop only.
 */
final class AdmissionController {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /**
     * Fraction of the shortest latency objective that is the queue delay limit: the endpoints get most of the
     * objective.
     */
    private static final double QUEUE_DELAY_OBJECTIVE_FRACTION = 0.25;
    /**
     * Fraction of the shortest latency objective that is sent as Retry-After; the load balancer uses the
     * same.
     */
    private static final double RETRY_AFTER_OBJECTIVE_FRACTION = 0.5;
    /**
     * Number of intervals over which CPU usage is averaged: the process's CPU limit is enforced as an average
     * over some 100 ms.
     */
    private static final int CPU_WINDOW_INTERVALS = 2;
    /**
     * Number of cached responses, one for each Retry-After in milliseconds; a longer Retry-After is shortened
     * to the longest of them.
     */
    private static final int MAX_CACHED_RESPONSES = 4096;
    /** Latency objective if no request class has one. */
    private static final long DEFAULT_LATENCY_OBJECTIVE_NANOS = 1_000_000_000L;

    private final EventLoop loop;
    private final EventLog log;
    private final MemoryBudget requestMemory;
    private final LoadBalancerThread loadBalancer;
    private final AdmissionPolicy policy;
    private final double cores;
    private final CpuClock cpuClock = new CpuClock();
    private final long[] cpuUsedNanos = new long[CPU_WINDOW_INTERVALS];
    private final long[] cpuReadAtNanos = new long[CPU_WINDOW_INTERVALS];
    private final byte[][] cachedRejections = new byte[MAX_CACHED_RESPONSES][]; // by Retry-After in ms
    private byte[] busyResponse;
    private int cpuReadingCount;
    private long queueDelayNanos; // total over the requests since the last interval
    private long delayedRequests;
    private long rejectedCount; // since the last interval

    AdmissionController(ProxyConfiguration start, EventLoop loop, EventLog log, MemoryBudget requestMemory,
                        LoadBalancerThread loadBalancer) {
        this.loop = loop;
        this.log = log;
        this.requestMemory = requestMemory;
        this.loadBalancer = loadBalancer;
        cores = start.cores;
        policy = new AdmissionPolicy(new double[0], new double[0], 0, 0, 0, start.seed);
        configure(start.settings.deployment);
        loop.execute(this::onInterval);
    }

    /** Applies the settings of another deployment to the requests that follow. */
    void configure(Deployment deployment) {
        long objectiveNanos = deployment.shortestLatencyObjectiveNanos(DEFAULT_LATENCY_OBJECTIVE_NANOS);
        long retryAfterNanos = (long) (RETRY_AFTER_OBJECTIVE_FRACTION * objectiveNanos);
        busyResponse = MetaResponse.rejected(
            Math.min(deployment.maxRetryAfterNanos(), retryAfterNanos) / NANOS_PER_MILLI);
        policy.configure(
            deployment.requestClasses().stream().mapToDouble(RequestClass::priorityWeight).toArray(),
            deployment.tenantQuotasPerSecond().stream().mapToDouble(Double::doubleValue).toArray(),
            (long) (QUEUE_DELAY_OBJECTIVE_FRACTION * objectiveNanos), retryAfterNanos,
            deployment.maxRetryAfterNanos());
    }

    /**
     * Returns the response to a request that the proxy itself has no capacity for: the request was not sent,
     * and the response says when to retry.
     */
    byte[] busyResponse() {
        return busyResponse;
    }

    /** Returns whether this proxy itself lacks capacity, so that not all requests are admitted. */
    boolean lacksCapacity() {
        return policy.admittedFraction() < 1 || policy.level() != ServiceLevel.FULL;
    }

    /**
     * Returns whether a request is admitted. The class and tenant are given by number; the tenant is -1 if it
     * is unknown.
     */
    boolean admits(int requestClass, int tenant) {
        boolean admitted = policy.admits(requestClass, tenant);
        rejectedCount += admitted ? 0 : 1;
        return admitted;
    }

    /**
     * Returns the response to a request that is not admitted. The array is shared and must not be modified.
     */
    byte[] rejection() {
        int retryAfterMillis = (int) Math.min(MAX_CACHED_RESPONSES - 1,
            policy.retryAfterNanos() / NANOS_PER_MILLI);
        byte[] response = cachedRejections[retryAfterMillis];
        if (response == null) {
            response = cachedRejections[retryAfterMillis] = MetaResponse.rejected(retryAfterMillis);
        }
        return response;
    }

    /**
     * Adds the given total delay of the given number of requests that waited for the load balancer's thread.
     */
    void onQueueDelay(long nanos, int requests) {
        queueDelayNanos += nanos;
        delayedRequests += requests;
    }

    private void onInterval() {
        long now = loop.now();
        ResourceUsage usage = new ResourceUsage(cpuFraction(now),
            delayedRequests == 0 ? 0 : queueDelayNanos / delayedRequests, requestMemory.usedFraction());
        queueDelayNanos = delayedRequests = 0;
        ServiceLevel previousLevel = policy.level();
        if (policy.onInterval(now, usage, loadBalancer.isAnyEndpointWarmingUp(now))) {
            logLevel(previousLevel, usage);
        }
        loadBalancer.onServiceLevel(policy.level(), policy.admittedFraction(), rejectedCount);
        rejectedCount = 0;
        loop.schedule(AdmissionPolicy.INTERVAL_NANOS, this::onInterval);
    }

    private void logLevel(ServiceLevel previousLevel, ResourceUsage usage) {
        log.info("service level changed", "level=" + policy.level() + " previous=" + previousLevel
            + " demandPercent=" + Math.round(100 * policy.pressure())
            + " cpuPercent=" + Math.round(100 * usage.cpuFraction())
            + " queueingMillis=" + usage.queueDelayNanos() / NANOS_PER_MILLI
            + " memoryPercent=" + Math.round(100 * usage.memoryFraction()));
    }

    /**
     * Returns the used fraction of this process's share of the cores over the last intervals; NaN if it is
     * unknown.
     */
    private double cpuFraction(long now) {
        int slot = cpuReadingCount++ % CPU_WINDOW_INTERVALS;
        long usedNanos = cpuClock.usedNanos();
        long previousUsedNanos = cpuUsedNanos[slot];
        long previousReadAtNanos = cpuReadAtNanos[slot];
        cpuUsedNanos[slot] = usedNanos;
        cpuReadAtNanos[slot] = now;
        boolean isUnknown = cpuReadingCount <= CPU_WINDOW_INTERVALS || usedNanos < previousUsedNanos;
        return isUnknown ? Double.NaN
            : (usedNanos - previousUsedNanos) / (cores * (now - previousReadAtNanos));
    }
}
