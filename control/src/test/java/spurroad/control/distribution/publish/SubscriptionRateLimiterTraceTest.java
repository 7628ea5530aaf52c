package spurroad.control.distribution.publish;

import static org.testng.Assert.assertEquals;

import java.util.Random;
import org.testng.annotations.Test;
import spurroad.control.Trace;
import spurroad.control.distribution.DistributionSettings;

/** Compares the rate at which children are accepted with a recorded trace. */
public class SubscriptionRateLimiterTraceTest {
    /** Divides all durations, so that time windows end at exactly the simulated times. In nanoseconds. */
    private static final long STEP_NANOS = 50 * DistributionSettings.NANOS_PER_MILLISECOND;
    private static final int STEPS = 6_000;

    @Test
    public void rateLimiterProducesRecordedTrace() {
        Trace trace = Trace.named("admission");
        Random random = new Random(8);
        SubscriptionRateLimiter rateLimiter = new SubscriptionRateLimiter(20, 5, new Random(9));
        long nowNanos = 0;
        for (int step = 0; step < STEPS; step++) {
            nowNanos += random.nextInt(40) == 0 ? random.nextInt(30) * STEP_NANOS
                : random.nextInt(2) * STEP_NANOS;
            boolean isAccepted = rateLimiter.tryAcquire(nowNanos);
            trace.number(nowNanos).flag(isAccepted);
            if (!isAccepted) {
                trace.number(rateLimiter.retryAfterMillis(nowNanos));
            }
            trace.end();
        }
        assertEquals(trace.digest(), "949b2bdbc8a05e3c3e42610cb8b54df7116558f5ead0f8401d860df33789f7a8");
    }
}
