package spurroad.control.distribution.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.message.Message.LeaseReply;
import spurroad.control.distribution.message.Message.LeaseRequest;
import spurroad.control.distribution.message.Outbox;

public class LeaseTest {
    private static final long SECOND = DistributionSettings.NANOS_PER_SECOND;
    private static final ProcessId GRANTOR = new ProcessId(1);
    private static final ProcessId SECOND_GRANTOR = new ProcessId(2);
    private final DistributionSettings settings = new DistributionSettings();

    /** Sends a lease request of a candidate; returns whether it is granted. */
    private boolean requestLease(LeaseGrantor grantor, long nowNanos, int candidate) {
        List<LeaseReply> replies = new ArrayList<>();
        grantor.onRequest(nowNanos, new ProcessId(candidate),
            new LeaseRequest("site", nowNanos / DistributionSettings.NANOS_PER_MILLISECOND),
            (to, message) -> replies.add((LeaseReply) message));
        assertEquals(replies.size(), 1);
        return replies.get(0).isGranted();
    }

    @Test
    public void grantsNoMoreLeasesThanGroupLimit() {
        LeaseGrantor grantor = new LeaseGrantor(0, settings, 2);
        long nowNanos = settings.leaseDurationNanos;
        assertTrue(requestLease(grantor, nowNanos, 1));
        assertTrue(requestLease(grantor, nowNanos, 2));
        assertFalse(requestLease(grantor, nowNanos, 3));
        assertTrue(requestLease(grantor, nowNanos + SECOND, 1), "renewed");
        assertFalse(requestLease(grantor, nowNanos + settings.leaseDurationNanos - 1, 3));
        assertTrue(requestLease(grantor, nowNanos + settings.leaseDurationNanos, 3),
            "the lease of the second candidate has ended");
        assertEquals(grantor.holders(nowNanos + settings.leaseDurationNanos, "site"),
            List.of(new ProcessId(1), new ProcessId(3)));
    }

    @Test
    public void restartedGrantorGrantsNothingForOneLeaseDuration() {
        LeaseGrantor grantor = new LeaseGrantor(10 * SECOND, settings, 1);
        assertFalse(requestLease(grantor, 10 * SECOND + settings.leaseDurationNanos - 1, 1));
        assertTrue(requestLease(grantor, 10 * SECOND + settings.leaseDurationNanos, 1));
    }

    @Test
    public void holderCountsLeaseFromRequestTime() {
        LeaseClient lease = new LeaseClient(0, settings, "site", List.of(GRANTOR), new Random(1));
        List<LeaseRequest> requests = new ArrayList<>();
        long nowNanos = lease.nextTimerNanos();
        lease.onTimer(nowNanos, true, (to, message) -> requests.add((LeaseRequest) message));
        lease.onReply(nowNanos + SECOND / 2, GRANTOR,
            new LeaseReply("site", true, 3_000, requests.get(0).sentAtMillis()));
        long grantedUntilNanos = requests.get(0).sentAtMillis() * DistributionSettings.NANOS_PER_MILLISECOND
            + settings.leaseDurationNanos;
        assertTrue(lease.isHeld(grantedUntilNanos - 1));
        assertFalse(lease.isHeld(grantedUntilNanos));
    }

    @Test
    public void triesNextGrantorIfOneIsUnresponsiveOrUnavailable() {
        LeaseClient lease = new LeaseClient(0, settings, "site", List.of(GRANTOR, SECOND_GRANTOR),
            new Random(1));
        List<ProcessId> recipients = new ArrayList<>();
        Outbox outbox = (to, message) -> recipients.add(to);
        long nowNanos = lease.nextTimerNanos();
        lease.onTimer(nowNanos, true, outbox);
        nowNanos = lease.nextTimerNanos();
        lease.onTimer(nowNanos, true, outbox);
        lease.onGrantorUnavailable(nowNanos, SECOND_GRANTOR);
        lease.onTimer(nowNanos, true, outbox);
        assertEquals(recipients, List.of(GRANTOR, SECOND_GRANTOR, GRANTOR));
        lease.onGrantorUnavailable(nowNanos, GRANTOR);
        lease.onTimer(nowNanos, true, outbox);
        assertEquals(recipients.size(), 3, "each grantor was tried, so the client waits");
        assertEquals(lease.nextTimerNanos(), nowNanos + settings.leaseIntervalNanos);
    }

    @Test
    public void lateReplyGrantsNoLeaseAndStartsBackoff() {
        LeaseClient lease = new LeaseClient(0, settings, "site", List.of(GRANTOR), new Random(1));
        List<LeaseRequest> requests = new ArrayList<>();
        Outbox outbox = (to, message) -> requests.add((LeaseRequest) message);
        for (long nowNanos = SECOND; nowNanos < 21 * SECOND; nowNanos += SECOND / 10) {
            lease.onTimer(nowNanos, true, outbox);
            long requestNanos = nowNanos - SECOND;
            requests.stream()
                .filter(
                    request -> request.sentAtMillis()
                        == requestNanos / DistributionSettings.NANOS_PER_MILLISECOND)
                .toList().forEach(request -> lease.onReply(requestNanos + SECOND, GRANTOR,
                    new LeaseReply("site", true, 3_000, request.sentAtMillis())));
            assertFalse(lease.isHeld(nowNanos));
        }
        assertTrue(requests.size() < 12, requests.size() + " requests in 20 s");
    }

    @Test
    public void ignoresImplausibleRepliesAndBoundsDuration() {
        LeaseClient lease = new LeaseClient(0, settings, "site", List.of(GRANTOR), new Random(1));
        lease.onReply(SECOND, GRANTOR, new LeaseReply("site", true, 3_000, 5_000));
        assertFalse(lease.isHeld(SECOND));
        lease.onReply(SECOND, GRANTOR, new LeaseReply("other", true, 3_000, 1_000));
        assertFalse(lease.isHeld(SECOND));
        lease.onReply(SECOND, GRANTOR, new LeaseReply("site", true, Long.MAX_VALUE / 2, 1_000));
        assertTrue(lease.isHeld(SECOND));
        assertFalse(lease.isHeld(12 * SECOND));
    }
}
