package spurroad.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against a client that sends without a pause and takes the processor time of all others. */
public class CommandRateLimiterTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    @Test
    public void allowsBurstAndThenTheSustainedRate() {
        CommandRateLimiter limiter = new CommandRateLimiter();
        long start = 5 * SECOND_NANOS;
        int commands = 0;
        for (long now = start; now < start + SECOND_NANOS;) {
            if (limiter.isExhausted(now)) {
                long pauseNanos = limiter.pauseNanos(now);
                assertTrue(pauseNanos > 0, "a pause without a length");
                now += pauseNanos;
                assertFalse(limiter.isExhausted(now), "the pause was too short");
            } else {
                limiter.onCommand(now);
                commands++;
            }
        }
        long sustained = SECOND_NANOS / CommandRateLimiter.NANOS_PER_COMMAND;
        assertTrue(commands >= sustained && commands <= sustained + CommandRateLimiter.BURST_COMMANDS,
            commands + " commands in a second");
    }

    @Test
    public void neverHoldsBackClientBelowTheRate() {
        CommandRateLimiter limiter = new CommandRateLimiter();
        for (long now = 0; now < SECOND_NANOS; now += CommandRateLimiter.NANOS_PER_COMMAND) {
            limiter.onCommand(now);
            assertFalse(limiter.isExhausted(now));
        }
        assertEquals(limiter.pauseNanos(2 * SECOND_NANOS), 0);
    }
}
