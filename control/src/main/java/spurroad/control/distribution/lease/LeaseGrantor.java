package spurroad.control.distribution.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.MonotonicTime;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.message.Message.LeaseReply;
import spurroad.control.distribution.message.Message.LeaseRequest;
import spurroad.control.distribution.message.Outbox;

/**
 * The grantor's side of relay leases: grants a bounded number of leases per group at a time. A grantor grants
 * no lease during its first lease duration, because it does not know the leases that it granted before a
 * restart.
 *
 * <p>Two grantors may grant the leases of one group to different processes. This costs only bandwidth: a
 * lease bounds how many relays receive updates from one level up, and correctness does not depend on it.
 *
 * <p>Not thread-safe. Times are nanoseconds of a monotonic clock.
 */
public final class LeaseGrantor {
    private record Grant(ProcessId holder, long untilNanos) {}

    private final DistributionSettings settings;
    private final int leasesPerGroup;
    private final long readyAtNanos;
    private final Map<String, List<Grant>> grants = new HashMap<>();

    /**
     * Creates a grantor that starts at {@code nowNanos} and grants at most {@code leasesPerGroup} leases per
     * group.
     */
    public LeaseGrantor(long nowNanos, DistributionSettings settings, int leasesPerGroup) {
        this.settings = settings;
        this.leasesPerGroup = leasesPerGroup;
        readyAtNanos = nowNanos + settings.leaseDurationNanos;
    }

    /** Answers a request; renews the lease if the sender already holds one. */
    public void onRequest(long nowNanos, ProcessId from, LeaseRequest request, Outbox outbox) {
        boolean isGranted = nowNanos >= readyAtNanos && tryGrant(nowNanos, request.group(), from);
        long durationMillis = isGranted ? MonotonicTime.toMillis(settings.leaseDurationNanos) : 0;
        outbox.send(from,
            new LeaseReply(request.group(), isGranted, durationMillis, request.sentAtMillis()));
    }

    private boolean tryGrant(long nowNanos, String group, ProcessId candidate) {
        List<Grant> groupGrants = grants.computeIfAbsent(group, key -> new ArrayList<>(leasesPerGroup));
        groupGrants.removeIf(grant -> nowNanos >= grant.untilNanos() || grant.holder().equals(candidate));
        if (groupGrants.size() >= leasesPerGroup) {
            return false;
        }
        groupGrants.add(new Grant(candidate, nowNanos + settings.leaseDurationNanos));
        return true;
    }

    /**
     * Returns the processes that hold leases of a group at {@code nowNanos}, the most recently granted or
     * renewed one last.
     */
    public List<ProcessId> holders(long nowNanos, String group) {
        return grants.getOrDefault(group, List.of()).stream()
            .filter(grant -> nowNanos < grant.untilNanos()).map(Grant::holder).toList();
    }
}
