package spurroad.routing;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

public class OutcomeStatisticsTest {
    /**
     * Requests end in any order, and classes appear, vanish and come back: the ended and the outstanding
     * requests always add up to the received ones.
     */
    @Test
    public void endedAndOutstandingRequestsAddUpToReceived() {
        for (long seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            OutcomeStatistics statistics = new OutcomeStatistics();
            List<OutcomeStatistics.ClassCounts> open = new ArrayList<>();
            long received = 0;
            long disconnected = 0;
            for (int step = 0; step < 300; step++) {
                if (open.isEmpty() || random.nextBoolean()) {
                    OutcomeStatistics.ClassCounts counts = statistics
                        .ofClass("c" + random.nextInt(1 + step / 50));
                    counts.onRequest();
                    open.add(counts);
                    received++;
                } else {
                    OutcomeStatistics.End end = OutcomeStatistics.End.values()[random.nextInt(4)];
                    open.remove(random.nextInt(open.size())).onEnd(end);
                    disconnected += end == OutcomeStatistics.End.DISCONNECTED ? 1 : 0;
                }
                long counted = statistics.byClass().values().stream()
                    .mapToLong(c -> c.succeeded() + c.declined() + c.aborted()).sum();
                assertEquals(statistics.outstanding(), open.size(), "seed " + seed);
                assertEquals(counted + disconnected + statistics.outstanding(), received, "seed " + seed);
            }
        }
    }
}
