package spurroad.control.distribution;

import java.util.List;
import java.util.Random;
import spurroad.control.distribution.Message.LeaseReply;
import spurroad.control.distribution.Message.LeaseRequest;

/**
 * A process's side of a relay lease: asks the first grantor that answers, and counts what it is granted from
 * when it asked, so that it ends here before it ends there.
 */
final class Lease {
    private static final long LONGEST_MILLIS = 10_000; // whatever a grantor says
    private static final int RETURN_AFTER = 10; // requests until the first grantor is asked again

    private final DistributionSettings settings;
    private final String group;
    private final List<ProcessId> grantors;
    private final Random random;
    private int grantor;
    private int requests;
    private boolean isAwaited;
    private long requestAt;
    private long heldUntil = Long.MIN_VALUE;

    Lease(long now, DistributionSettings settings, String group, List<ProcessId> grantors, Random random) {
        this.settings = settings;
        this.group = group;
        this.grantors = List.copyOf(grantors);
        this.random = random;
        requestAt = now + (long) (random.nextDouble() * settings.leaseInterval);
    }

    boolean isHeld(long now) {
        return now < heldUntil;
    }

    long heldUntil() {
        return heldUntil;
    }

    /** Asks where it is time, unless it shall not be held any longer. */
    void wake(long now, boolean isWanted, Outbox outbox) {
        if (now < requestAt) {
            return;
        }
        if (!isWanted) {
            requestAt = now + settings.leaseInterval;
            return;
        }
        if (isAwaited) {
            grantor = (grantor + 1) % grantors.size();
        }
        if (++requests % RETURN_AFTER == 0) {
            grantor = 0;
        }
        isAwaited = true;
        requestAt = now + settings.requestTimeout;
        outbox.send(grantors.get(grantor), new LeaseRequest(group, now / DistributionSettings.MILLISECOND));
    }

    /** Takes an answer; one that it does not wait for any longer counts too. */
    void replied(long now, ProcessId from, LeaseReply reply) {
        if (!reply.group().equals(group)) {
            return;
        }
        if (reply.granted() && reply.echoMillis() <= now / DistributionSettings.MILLISECOND) {
            long durationMillis = Math.min(reply.durationMillis(), LONGEST_MILLIS);
            long until = (reply.echoMillis() + durationMillis) * DistributionSettings.MILLISECOND;
            heldUntil = Math.max(heldUntil, until);
        }
        if (isAwaited && from.equals(grantors.get(grantor))) {
            isAwaited = false;
            long jitter = (long) (random.nextDouble() * settings.leaseInterval / 4);
            requestAt = now + settings.leaseInterval - jitter;
        }
    }

    /** A grantor that can't grant at present: the next one is asked. */
    void notGranting(long now, ProcessId from) {
        if (isAwaited && from.equals(grantors.get(grantor))) {
            requestAt = now;
        }
    }

    /** Gives it up. */
    void release() {
        heldUntil = Long.MIN_VALUE;
    }

    long nextWakeAt() {
        return requestAt;
    }
}
