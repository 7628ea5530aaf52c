package spurroad.testbed.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import spurroad.testbed.checker.OutcomeStatistics;
import spurroad.testbed.checker.Rule;
import spurroad.testbed.checker.RuleChecker;
import spurroad.testbed.checker.RuleViolation;
import spurroad.testbed.environment.Environment;

/**
 * The result of one run; stored as JSON, so that runs can be compared later. Times are in milliseconds,
 * fractions from 0 to 1.
 *
 * @param clock "sockets" or "simulated"
 * @param build what was run: a proxy's jar by its hash, or a policy
 * @param voidFor why the run proves nothing; empty where it does
 * @param breaches how often each rule was broken
 * @param lateMs lateness of the test bed itself at the 99th percentile
 * @param wasted fraction of executions that were for requests already over
 * @param proxies resources of each real proxy; empty for simulated ones
 * @param seconds by the second in which requests were due
 */
public record Result(String scenario, long seed, String clock, String build, String voidFor, double goodput,
                     Counts all, Map<String, Counts> tracks, Map<String, Counts> customers, Latency latencyMs,
                     Map<Rule, Integer> breaches, List<RuleViolation> stories, long taken, long unanswered,
                     long excused,
                     long executions, double wasted, long connections, double lateMs, List<Proxy> proxies,
                     List<Second> seconds, double tookS) {
    private static final double MICROS_PER_MILLI = 1e3;
    private static final Environment.Queues NO_QUEUES = new Environment.Queues(0, 0, 0);

    /** Requests by their outcomes, and their goodput. */
    public record Counts(long due, long inTime, long late, long rejected, long failed, long unanswered,
                         double goodput) {
        static Counts of(OutcomeStatistics.Count count) {
            return new Counts(count.due, count.inTime, count.late, count.rejected, count.failed,
                count.unanswered,
                count.goodput());
        }
    }

    /** Of served requests, from the time at which they were due. */
    public record Latency(double p50, double p90, double p99, double p999, double most) {
        static Latency of(Histogram micros) {
            return new Latency(micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(90) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(99.9) / MICROS_PER_MILLI,
                micros.getMaxValue() / MICROS_PER_MILLI);
        }
    }

    /** Resources that one real proxy used. */
    public record Proxy(int number, double cpuSeconds, double memoryMb, int descriptors) {}

    /**
     * One second.
     *
     * @param meanQueue requests in flight at a cache node at the beginning of the second, in the mean
     * @param mostQueue the same at the busiest cache node
     * @param originQueue the same at the origin
     */
    public record Second(long due, long inTime, long late, long rejected, long failed, double goodput,
                         double p50,
                         double p99, double meanQueue, int mostQueue, int originQueue) {}

    /**
     * Collects the result of an environment whose run has ended.
     *
     * @param voidFor why the run proves nothing; empty where it does
     * @param connections of clients, in all
     * @param tookS wall time in seconds
     */
    static Result of(Environment environment, String clock, String build, String voidFor,
                     List<Proxy> proxies, long connections, double tookS) {
        OutcomeStatistics outcomes = environment.outcomes;
        RuleChecker checker = environment.checker;
        double wasted = (double) checker.wasted() / Math.max(1, checker.executions());
        double lateMs = outcomes.lateUs().getValueAtPercentile(99) / MICROS_PER_MILLI;
        return new Result(environment.scenario.name(), environment.seed, clock, build, voidFor,
            outcomes.all().goodput(), Counts.of(outcomes.all()), counts(outcomes.tracks()),
            counts(outcomes.customers()), Latency.of(outcomes.latencyUs()), violationCounts(checker),
            checker.violations(), checker.taken(), checker.unanswered(), checker.excused(),
            checker.executions(), wasted, connections, lateMs, proxies, seconds(environment), tookS);
    }

    private static Map<String, Counts> counts(Map<String, OutcomeStatistics.Count> counts) {
        Map<String, Counts> copies = new LinkedHashMap<>();
        counts.forEach((name, count) -> copies.put(name, Counts.of(count)));
        return copies;
    }

    private static Map<Rule, Integer> violationCounts(RuleChecker checker) {
        Map<Rule, Integer> counts = new LinkedHashMap<>();
        for (Rule rule : Rule.values()) {
            counts.put(rule, checker.count(rule));
        }
        return counts;
    }

    private static List<Second> seconds(Environment environment) {
        OutcomeStatistics outcomes = environment.outcomes;
        List<Environment.Queues> queues = environment.queues();
        List<Second> seconds = new ArrayList<>();
        for (int i = 0; i < outcomes.seconds().size(); i++) {
            OutcomeStatistics.Count count = outcomes.seconds().get(i);
            Histogram latency = outcomes.latencyUs(i);
            Environment.Queues queue = i < queues.size() ? queues.get(i) : NO_QUEUES;
            seconds.add(new Second(count.due, count.inTime, count.late, count.rejected,
                count.failed + count.unanswered, count.goodput(),
                latency.getValueAtPercentile(50) / MICROS_PER_MILLI,
                latency.getValueAtPercentile(99) / MICROS_PER_MILLI, queue.mean(), queue.most(),
                queue.origin()));
        }
        return seconds;
    }

    /** Returns how often any rule was broken. */
    public int broken() {
        return breaches.values().stream().mapToInt(Integer::intValue).sum();
    }
}
