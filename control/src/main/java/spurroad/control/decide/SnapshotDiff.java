package spurroad.control.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.BiFunction;

/**
 * Describes the differences between two snapshots for operators, in lines that begin with {@code +},
 * {@code -} or {@code ~}.
 */
final class SnapshotDiff {
    private SnapshotDiff() {}

    /** Returns one line for each endpoint and policy key that was added, removed or changed. */
    static List<String> of(Snapshot before, Snapshot after) {
        List<String> lines = new ArrayList<>();
        compare(before.endpoints(), after.endpoints(), lines, SnapshotDiff::describe,
            SnapshotDiff::describeChange);
        compare(before.policy(), after.policy(), lines, (key, value) -> key + " = " + value,
            (oldValue, newValue) -> oldValue + " -> " + newValue);
        return lines;
    }

    private static <T> void compare(SortedMap<String, T> before, SortedMap<String, T> after,
                                    List<String> lines, BiFunction<String, T, String> description,
                                    BiFunction<T, T, String> changeDescription) {
        SortedSet<String> keys = new TreeSet<>(before.keySet());
        keys.addAll(after.keySet());
        for (String key : keys) {
            T oldValue = before.get(key);
            T newValue = after.get(key);
            if (oldValue == null) {
                lines.add("+ " + description.apply(key, newValue));
            } else if (newValue == null) {
                lines.add("- " + description.apply(key, oldValue));
            } else if (!oldValue.equals(newValue)) {
                lines.add("~ " + key + ": " + changeDescription.apply(oldValue, newValue));
            }
        }
    }

    private static String describe(String uid, Endpoint endpoint) {
        return uid + " at " + endpoint.address() + ", " + endpoint.status().state();
    }

    private static String describeChange(Endpoint before, Endpoint after) {
        List<String> changes = new ArrayList<>();
        if (before.status().state() != after.status().state()) {
            changes.add(before.status().state() + " -> " + after.status().state());
        }
        if (before.status().startedAtMillis() != after.status().startedAtMillis()) {
            changes.add("started anew");
        }
        if (!before.address().equals(after.address())) {
            changes.add(before.address() + " -> " + after.address());
        }
        if (before.weight() != after.weight()) {
            changes.add("weight " + before.weight() + " -> " + after.weight());
        }
        if (!before.zone().equals(after.zone()) || !before.kind().equals(after.kind())) {
            changes.add(
                before.zone() + " " + before.kind() + " -> " + after.zone() + " " + after.kind());
        }
        return String.join(", ", changes);
    }
}
