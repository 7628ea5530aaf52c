package spurroad.testbed.checker;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Counts the violations of each rule, and keeps the first ones with their event histories. */
final class ViolationLog {
    private static final int MAX_RECORDED = 1000;

    private final List<RuleViolation> recorded = new ArrayList<>();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);

    /** Counts a violation of a rule; asks for its details only while there is space to record them. */
    void add(Rule rule, Supplier<RuleViolation> details) {
        counts.merge(rule, 1, Integer::sum);
        if (recorded.size() < MAX_RECORDED) {
            recorded.add(details.get());
        }
    }

    int count(Rule rule) {
        return counts.getOrDefault(rule, 0);
    }

    List<RuleViolation> recorded() {
        return List.copyOf(recorded);
    }
}
