package spurroad.control.distribution.subscribe;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;
import spurroad.control.Trace;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.support.MessageTrace;

/** Compares the selection of a parent with a recorded trace. */
public class ParentSelectorTraceTest {
    /** Divides all durations, so that backoffs end at exactly the simulated times. In nanoseconds. */
    private static final long STEP_NANOS = 50 * DistributionSettings.NANOS_PER_MILLISECOND;
    private static final int STEPS = 6_000;

    private static List<ProcessId> processes(int first, int count) {
        return IntStream.range(first, first + count).mapToObj(ProcessId::new).toList();
    }

    @Test
    public void selectorProducesRecordedTrace() {
        Trace trace = Trace.named("parent-selector");
        Random random = new Random(6);
        ParentSelector selector = new ParentSelector(new Random(7));
        long nowNanos = 0;
        for (int step = 0; step < STEPS; step++) {
            nowNanos += random.nextInt(6) * STEP_NANOS;
            if (random.nextInt(150) == 0) {
                selector.setCandidates(processes(1, random.nextInt(4)), processes(4, random.nextInt(4)));
            }
            ProcessId next = selector.nextCandidate(nowNanos);
            MessageTrace.process(trace, next);
            if (next != null) {
                reportRandomOutcome(trace, random, selector, next, nowNanos);
            }
            trace.number(selector.candidateCount()).number(selector.nextCandidateNanos());
            processes(1, 7).forEach(candidate -> trace.flag(selector.isPreferred(candidate)));
            trace.end();
        }
        assertEquals(trace.digest(), "719dea4e24144515d4a4c59682b03fdca85e5d8b5db7afb7b163f4891f9dfb11");
    }

    private static void reportRandomOutcome(Trace trace, Random random, ParentSelector selector,
                                            ProcessId candidate,
                                            long nowNanos) {
        int outcome = random.nextInt(12);
        trace.part('o').number(outcome);
        if (outcome < 7) {
            selector.onFailure(candidate, nowNanos);
        } else if (outcome < 9) {
            selector.onRejection(candidate, nowNanos, random.nextInt(10) * STEP_NANOS);
        } else if (outcome < 11) {
            selector.onSuccess(candidate);
        } else {
            selector.clearBackoff();
        }
    }
}
