package spurroad.control.distribution.lease;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.control.Trace;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.message.Message.LeaseReply;
import spurroad.control.distribution.message.Message.LeaseRequest;
import spurroad.control.distribution.support.MessageTrace;
import spurroad.control.distribution.support.TracedParticipant;

/** Compares the behavior of the client and the grantor of a lease with recorded traces. */
public class LeaseTraceTest {
    /** Divides all durations, so that timers expire at exactly the simulated times. In nanoseconds. */
    private static final long STEP_NANOS = 50 * DistributionSettings.NANOS_PER_MILLISECOND;
    private static final long STEP_MILLIS = STEP_NANOS / DistributionSettings.NANOS_PER_MILLISECOND;
    private static final int STEPS = 6_000;

    private final DistributionSettings settings = new DistributionSettings();

    private static List<ProcessId> processes(int first, int count) {
        return IntStream.range(first, first + count).mapToObj(ProcessId::new).toList();
    }

    @DataProvider
    public Object[][] grantors() {
        return new Object[][] {
            {1, 0.05, "85cd1b85b8548eca7604b62d958dba5af5e8a4376ba858cd2323e33b81f73d84"},
            {3, 0.05, "c70253b8dc65a583582b260f104701488c933a715694a296f82a79facf27a987"},
            {3, 0.6, "0af19aab83f82cd3419606d967f1ecd8dd3bd15f421c265e72aa55d6af11ac90"},
            {12, 0.3, "a13c1d6a5d97baf75d26f60a7aec82d81c4944f5c0b2ef42f2a7d698f96d3375"},
        };
    }

    @Test(dataProvider = "grantors")
    public void clientProducesRecordedTrace(int grantors, double unansweredFraction, String digest) {
        Trace trace = Trace.named("lease-" + grantors + "-" + unansweredFraction);
        Random random = new Random(grantors);
        LeaseClient lease = new LeaseClient(0, settings, "site", processes(1, grantors),
            new Random(random.nextLong()));
        long nowNanos = 0;
        for (int step = 0; step < STEPS; step++) {
            nowNanos += random.nextInt(3) * STEP_NANOS;
            fireTimer(trace, random, lease, nowNanos);
            if (random.nextDouble() >= unansweredFraction) {
                answer(trace, random, lease, nowNanos, new ProcessId(1 + random.nextInt(grantors)));
            }
            if (random.nextInt(500) == 0) {
                lease.release();
                trace.part('x');
            }
            trace.number(nowNanos).flag(lease.isHeld(nowNanos)).number(lease.heldUntilNanos())
                .number(lease.nextTimerNanos())
                .end();
        }
        assertEquals(trace.digest(), digest);
    }

    private static void fireTimer(Trace trace, Random random, LeaseClient lease, long nowNanos) {
        boolean isWanted = random.nextInt(30) > 0;
        trace.part('w').flag(isWanted);
        lease.onTimer(nowNanos, isWanted, TracedParticipant.traced(trace, (to, message) -> {}));
    }

    private static void answer(Trace trace, Random random, LeaseClient lease, long nowNanos, ProcessId from) {
        trace.part('r');
        MessageTrace.process(trace, from);
        if (random.nextInt(4) == 0) {
            lease.onGrantorUnavailable(nowNanos, from);
            return;
        }
        long ageSteps = random.nextInt(8) == 0 ? random.nextInt(40) - 2 : random.nextInt(8);
        long durationMillis = random.nextInt(20) == 0 ? 60_000 : 3_000;
        LeaseReply reply = new LeaseReply(random.nextInt(30) == 0 ? "other" : "site",
            random.nextInt(3) > 0, durationMillis,
            nowNanos / DistributionSettings.NANOS_PER_MILLISECOND - ageSteps * STEP_MILLIS);
        MessageTrace.fields(trace, reply);
        lease.onReply(nowNanos, from, reply);
    }

    @Test
    public void grantorProducesRecordedTrace() {
        Trace trace = Trace.named("lease-grantor");
        Random random = new Random(5);
        LeaseGrantor grantor = new LeaseGrantor(7 * STEP_NANOS, settings, 2);
        long nowNanos = 7 * STEP_NANOS;
        for (int step = 0; step < STEPS; step++) {
            nowNanos += random.nextInt(9) * STEP_NANOS;
            String group = "site" + random.nextInt(2);
            ProcessId from = new ProcessId(random.nextInt(4));
            trace.number(nowNanos);
            MessageTrace.process(trace, from);
            grantor.onRequest(nowNanos, from, new LeaseRequest(group, random.nextInt(1_000)),
                TracedParticipant.traced(trace, (to, message) -> {}));
            grantor.holders(nowNanos + random.nextInt(90) * STEP_NANOS, group)
                .forEach(holder -> MessageTrace.process(trace, holder));
            trace.end();
        }
        assertEquals(trace.digest(), "661788aa7b455eb48174dac01341a3f86da73c372b1c39668555419e2d764009");
    }

    /** Traces when a grantor grants its first lease after its start. */
    @Test
    public void grantorAfterStartProducesRecordedTrace() {
        Trace trace = Trace.named("lease-grantor-start");
        LeaseGrantor grantor = new LeaseGrantor(0, settings, 1);
        for (long nowNanos = 0; nowNanos <= 2 * settings.leaseDurationNanos; nowNanos += STEP_NANOS) {
            trace.number(nowNanos);
            grantor.onRequest(nowNanos, new ProcessId(1), new LeaseRequest("site", nowNanos / STEP_NANOS),
                TracedParticipant.traced(trace, (to, message) -> {}));
            trace.end();
        }
        assertEquals(trace.digest(), "2e2e495401542fcba6775fca0eb7f8e2b76c57a10d88e1c05b6cf4d871dfb5a1");
    }
}
