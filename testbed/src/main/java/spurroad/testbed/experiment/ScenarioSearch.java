package spurroad.testbed.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import spurroad.testbed.policy.Policy;
import spurroad.testbed.scenario.Scenario;
import spurroad.testbed.scenario.Scenario.Fault;

/**
 * Searches, in simulated time, for the seed and the times of faults with which a policy scores worst, then
 * shrinks the scenario as far as it still scores nearly as low. A broken rule is worse than any goodput. Not
 * thread-safe.
 */
public final class ScenarioSearch {
    private static final double SHRINK_TOLERANCE = 0.25; // fraction of the loss that may be given up
    private static final long MIN_FAULT_NANOS = 100_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_SEED = 1_000_000;

    /** A scenario with its score, which is its goodput less one for each broken rule. */
    public record Found(Scenario scenario, long seed, double score, Result result) {}

    private final Policy.Kind policy;
    private final Consumer<String> log;
    private int runs;

    /** Creates a search for one policy; the log receives a line for each improvement. */
    public ScenarioSearch(Policy.Kind policy, Consumer<String> log) {
        this.policy = policy;
        this.log = log;
    }

    /** Returns how many runs the search has made. */
    public int played() {
        return runs;
    }

    /**
     * Returns the worst of so many scenarios; the first is the given one, the others have its faults at other
     * times.
     */
    public Found worst(Scenario scenario, int scripts, long seed) {
        Random random = new Random(seed);
        Found worst = play(scenario, scenario.seeds().get(0));
        for (int i = 1; i < scripts; i++) {
            Found next = play(withMovedFaults(scenario, random), 1 + random.nextInt(MAX_SEED));
            if (next.score < worst.score) {
                worst = next;
                log.accept("script " + (i + 1) + ": " + worst.score);
            }
        }
        return worst;
    }

    /** Moves each fault to another time, and gives it up to twice its duration. */
    private static Scenario withMovedFaults(Scenario s, Random random) {
        List<Fault> faults = new ArrayList<>();
        for (Fault f : s.faults()) {
            long duration = Math.max(MIN_FAULT_NANOS, (long) (f.forNs() * 2 * random.nextDouble()));
            long latestDelay = Math.max(0, s.lengthNs() - s.warmNs() - MIN_FAULT_NANOS);
            long start = s.warmNs() + (long) (random.nextDouble() * latestDelay);
            long boundedDuration = Math.min(duration, s.lengthNs() - start);
            faults.add(new Fault(f.kind(), wholeMillis(start), wholeMillis(boundedDuration), f.targets(),
                f.factor()));
        }
        return withFaults(s, faults);
    }

    /** Rounds a time down to whole milliseconds, the form in which a scenario file writes it. */
    private static long wholeMillis(long nanos) {
        return nanos / NANOS_PER_MILLI * NANOS_PER_MILLI;
    }

    private static Scenario withFaults(Scenario s, List<Fault> faults) {
        return new Scenario(s.name(), s.about(), s.warmNs(), s.lengthNs(), s.world(), s.load(),
            List.copyOf(faults),
            s.rules(), s.seeds());
    }

    /**
     * Returns the smallest scenario found that still scores nearly as low. Faults and targets are left out,
     * and durations halved, one at a time, until no such step keeps the score low.
     *
     * @param faultlessScore of the scenario without faults, from which the loss counts
     */
    public Found shrink(Found found, double faultlessScore) {
        double maxScore = found.score + SHRINK_TOLERANCE * Math.max(0, faultlessScore - found.score);
        Found smallest = found;
        Optional<Found> next = shrinkOnce(smallest, maxScore);
        while (next.isPresent()) {
            smallest = next.get();
            log.accept("shorter: " + smallest.scenario.faults().size() + " faults, " + smallest.score);
            next = shrinkOnce(smallest, maxScore);
        }
        return smallest;
    }

    /** Returns the first smaller scenario that scores low enough; nothing where none does. */
    private Optional<Found> shrinkOnce(Found found, double maxScore) {
        for (Scenario smaller : smaller(found.scenario)) {
            Found next = play(smaller, found.seed);
            if (next.score - maxScore <= 0) {
                return Optional.of(next);
            }
        }
        return Optional.empty();
    }

    private static List<Scenario> smaller(Scenario s) {
        List<Scenario> smaller = new ArrayList<>();
        List<Fault> faults = s.faults();
        for (int i = 0; i < faults.size(); i++) {
            List<Fault> fewer = new ArrayList<>(faults);
            fewer.remove(i);
            smaller.add(withFaults(s, fewer));
        }
        for (int i = 0; i < faults.size(); i++) {
            Fault f = faults.get(i);
            for (int t = 0; f.targets().size() > 1 && t < f.targets().size(); t++) {
                List<String> targets = new ArrayList<>(f.targets());
                targets.remove(t);
                smaller
                    .add(withFaults(s, replaced(faults, i, new Fault(f.kind(), f.atNs(), f.forNs(), targets,
                        f.factor()))));
            }
            if (f.forNs() / 2 >= MIN_FAULT_NANOS) {
                smaller.add(withFaults(s,
                    replaced(faults, i, new Fault(f.kind(), f.atNs(), wholeMillis(f.forNs() / 2), f.targets(),
                        f.factor()))));
            }
        }
        return smaller;
    }

    private static List<Fault> replaced(List<Fault> faults, int i, Fault by) {
        List<Fault> next = new ArrayList<>(faults);
        next.set(i, by);
        return next;
    }

    /** Runs one scenario. */
    public Found play(Scenario scenario, long seed) {
        runs++;
        Result r = new ScenarioRunner.Simulated(policy).play(scenario, seed, null, line -> {});
        return new Found(scenario, seed, r.goodput() - r.broken(), r);
    }
}
