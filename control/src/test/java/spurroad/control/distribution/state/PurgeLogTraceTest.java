package spurroad.control.distribution.state;

import static org.testng.Assert.assertEquals;

import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.control.Trace;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.support.MessageTrace;

/** Pins the purge log and freshness for random calls by digests of their traces. */
public class PurgeLogTraceTest {
    private static final long MILLISECOND_NANOS = DistributionSettings.NANOS_PER_MILLISECOND;
    private static final int STEPS = 4_000;

    @DataProvider
    public Object[][] capacities() {
        return new Object[][] {
            {0, 0, "af8dfa3b4a8814c87636b460a73838c70485573559d44567dc3e065d774c49d2"},
            {5, 5, "3d5a303d9ea7fc99460a3a6289219967c579bfc5ac64687b1f23b7267a7f34be"},
            {40, 3_000, "130379cedf2334b585f90c7134582685530c9a79945afc7d60f804dc25060000"},
            {1_500, 1_000, "46557eb778bb48ff6ccd83d4df5281c153162bd7cbaf71652f2e5776ca0e61f6"},
            {2_000, 5_000, "51927f3cf3a0de48c761fdac9be83bf8549ec42d5fd61a89110fdf460d13275f"},
        };
    }

    @Test(dataProvider = "capacities")
    public void retainsPurgesUnchanged(int usualCapacity, int maxCapacity, String digest) {
        Trace trace = Trace.named("purge-log-" + usualCapacity);
        Random random = new Random(usualCapacity);
        PurgeLog log = new PurgeLog(usualCapacity, maxCapacity);
        for (int step = 0; step < STEPS; step++) {
            traceRandomChange(trace, random, log);
            trace.number(log.lastNumber()).number(log.startNumber());
            traceRandomQuery(trace, random, log);
            trace.end();
        }
        assertEquals(trace.digest(), digest);
    }

    private static void traceRandomChange(Trace trace, Random random, PurgeLog log) {
        int kind = random.nextInt(100);
        if (kind < 60) {
            long from = Math.max(0, log.lastNumber() + 2 - random.nextInt(8));
            long[] hashes = random.longs(1 + random.nextInt(30)).toArray();
            trace.part('b').number(from).number(log.append(new PurgeBatch(from, hashes)));
        } else if (kind < 90) {
            log.append(random.nextLong());
            trace.part('a');
        } else if (kind < 99) {
            long requiredNumber = random.nextInt(3) == 0 ? Long.MAX_VALUE
                : log.lastNumber() - random.nextInt(60);
            log.retainAfter(requiredNumber);
            trace.part('n').number(requiredNumber);
        } else {
            long to = log.lastNumber() + random.nextInt(50);
            log.reset(to);
            trace.part('z').number(to);
        }
    }

    private static void traceRandomQuery(Trace trace, Random random, PurgeLog log) {
        long from = log.startNumber() - 1 + random.nextInt((int) (log.lastNumber() - log.startNumber()) + 3);
        boolean isRetained = log.retainsAfter(from);
        trace.part('q').number(from).flag(isRetained);
        if (from >= 0 && isRetained) {
            log.batchAfter(from, 1 + random.nextInt(50))
                .ifPresent(batch -> MessageTrace.purges(trace, batch));
        }
    }

    @Test
    public void computesFreshnessUnchanged() {
        Trace trace = Trace.named("freshness");
        Random random = new Random(3);
        Freshness freshness = new Freshness(600 * MILLISECOND_NANOS);
        long now = 0;
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(5) * 25L * MILLISECOND_NANOS + (random.nextInt(9) == 0 ? 1 : 0);
            if (random.nextInt(3) == 0) {
                long echo = now / MILLISECOND_NANOS + 25L * (1 - random.nextInt(8));
                long age = random.nextInt(9) == 0 ? -1 : random.nextInt(20) * 25;
                freshness.onReport(now, echo, age);
                trace.part('h').number(echo).number(age);
            } else if (random.nextInt(20) == 0) {
                long time = now - random.nextInt(30) * 25L * MILLISECOND_NANOS;
                freshness.advanceTo(time);
                trace.part('k').number(time);
            }
            trace.number(now).flag(freshness.isFresh(now)).number(freshness.ageMillis(now)).end();
        }
        traceMaximumAge(trace);
        assertEquals(trace.digest(), "da932d6099979f9b2142aed4f92a97bc0f9687cb418c0ec06f10b96e2e96846c");
    }

    /** Traces reports with ages around one day, the maximum age that is accepted. */
    private static void traceMaximumAge(Trace trace) {
        long now = 200_000_000 * MILLISECOND_NANOS;
        for (long age : new long[] {86_399_999, 86_400_000, 86_400_001}) {
            Freshness freshness = new Freshness(100_000_000 * MILLISECOND_NANOS);
            freshness.onReport(now, now / MILLISECOND_NANOS, age);
            trace.number(age).flag(freshness.isFresh(now)).number(freshness.ageMillis(now)).end();
        }
    }
}
