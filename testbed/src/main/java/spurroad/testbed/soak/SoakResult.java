package spurroad.testbed.soak;

import java.util.List;
import java.util.Map;

/**
 * The result of a run.
 *
 * @param requests how many requests clients sent
 * @param attempts how many attempts servers received
 * @param ends how many requests ended in each way
 * @param crossings how many requests crossed a close that a proxy is allowed, by what the client saw
 * @param killedAtEnd how many processes that were told to end were still there at the earliest kill
 * @param counts how many violations there were of each invariant; without those that held
 * @param violations the first violations
 * @param mostLateMs the longest scheduling delay of the soak's own threads, in milliseconds, which the checks
 *     allow for
 */
public record SoakResult(int requests, long attempts, Map<?, Integer> ends,
                         Map<String, Integer> crossings, int killedAtEnd, Map<Invariant, Integer> counts,
                         List<Violation> violations, long mostLateMs) {
    /** Returns whether all invariants held. */
    public boolean passed() {
        return counts.isEmpty();
    }
}
