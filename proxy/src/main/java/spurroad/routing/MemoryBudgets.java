package spurroad.routing;

import spurroad.configuration.ProxyConfiguration;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;
import spurroad.transport.GrowthBudget;
import spurroad.transport.MemoryBudget;

/**
 * The memory budgets of the process, which follow the number of listed endpoints: these take heap as well.
 * Used on the event loop only.
 */
final class MemoryBudgets {
    private static final double SCARCE_FRACTION = 0.8;
    private static final int PERCENT = 100;

    /** For requests in flight and responses. */
    final MemoryBudget requests;
    /** For long values that clients upload. */
    final GrowthBudget uploads;
    /** For input that clients send before their earlier responses, beyond the first chunk. */
    final MemoryBudget readAhead;
    /** For values of replies that are received completely before they are forwarded. */
    final GrowthBudget replies;
    /** For heads of replies beyond the usual length. */
    final MemoryBudget replyHeads = new MemoryBudget(MemoryPlan.REPLY_HEAD_BYTES);
    private final ProxyConfiguration configuration;
    private final EventLog log;
    private int plannedEndpoints;

    MemoryBudgets(ProxyConfiguration configuration, EventLoop loop, EventLog log) {
        this.configuration = configuration;
        this.log = log;
        MemoryPlan plan = plan(0);
        requests = new MemoryBudget(plan.requestBytes());
        uploads = new GrowthBudget(plan.uploadBytes(), loop::execute);
        readAhead = new MemoryBudget(plan.readAheadBytes());
        replies = new GrowthBudget(plan.replyBytes(), loop::execute);
    }

    private MemoryPlan plan(int endpoints) {
        return MemoryPlan.of(new MemoryPlan.Limits(configuration.memoryMb, Runtime.getRuntime().maxMemory(),
            configuration.settings.maxOpenRequests, configuration.connectionPermits, endpoints));
    }

    /** Resizes the budgets for a number of listed endpoints; what exceeds them now is released in time. */
    void onEndpointCount(int endpoints) {
        if (endpoints == plannedEndpoints) {
            return;
        }
        plannedEndpoints = endpoints;
        MemoryPlan plan = plan(endpoints);
        requests.resize(plan.requestBytes());
        uploads.resize(plan.uploadBytes());
        readAhead.resize(plan.readAheadBytes());
        replies.resize(plan.replyBytes());
    }

    /** Logs how much of each budget is used if one of them is nearly used up. Called periodically. */
    void logIfScarce() {
        double mostUsed = Math.max(Math.max(requests.usedFraction(), readAhead.usedFraction()),
            Math.max(uploads.usedFraction(), replies.usedFraction()));
        if (mostUsed >= SCARCE_FRACTION) {
            log.warn("memory scarce", this);
        }
    }

    /** Returns the used part of each budget and of the heap, garbage included, in percent. */
    @Override
    public String toString() {
        Runtime runtime = Runtime.getRuntime();
        double heapFraction = (double) (runtime.totalMemory() - runtime.freeMemory()) / runtime.maxMemory();
        return "requestsPercent=" + percent(requests.usedFraction()) + " uploadsPercent="
            + percent(uploads.usedFraction()) + " readAheadPercent=" + percent(readAhead.usedFraction())
            + " repliesPercent=" + percent(replies.usedFraction()) + " heapPercent=" + percent(heapFraction)
            + " endpoints=" + plannedEndpoints;
    }

    private static long percent(double fraction) {
        return Math.round(PERCENT * fraction);
    }
}
