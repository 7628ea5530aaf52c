package spurroad.testbed.experiment;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import spurroad.testbed.scenario.Scenario;
import spurroad.testbed.scenario.Scenario.Fault;
import spurroad.toml.TomlTable;

/** Rewrites a scenario's text with another name, other faults and seeds; all else stays to the letter. */
public final class ScenarioText {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private ScenarioText() {}

    /** Returns the text with other faults and seeds in place of its own. */
    public static String with(String text, String name, List<Fault> faults, List<Long> seeds) {
        StringBuilder rewritten = new StringBuilder();
        boolean inFaults = false;
        for (String rawLine : text.split("\n")) {
            String line = rawLine.strip();
            inFaults = line.startsWith("[") ? line.replace(" ", "").startsWith("[[faults]]") : inFaults;
            if (line.matches("name\\s*=.*") && rewritten.indexOf("[") < 0) {
                rewritten.append("name = \"").append(name).append("\"\nseeds = ").append(seeds).append('\n');
            } else if (!inFaults && !(line.matches("seeds\\s*=.*") && rewritten.indexOf("[[") < 0)) {
                rewritten.append(rawLine).append('\n');
            }
        }
        faults.forEach(f -> rewritten.append('\n').append(fault(f)));
        return rewritten.toString();
    }

    private static String fault(Fault f) {
        return "[[faults]]\nkind = \"" + TomlTable.enumName(f.kind()) + "\"\nat = \"" + milliseconds(f.atNs())
            + "\"\nfor = \""
            + milliseconds(f.forNs()) + "\"\n"
            + (f.targets().isEmpty() ? "" : "targets = [" + f.targets().stream()
                .map(t -> "\"" + t + "\"").collect(Collectors.joining(", ")) + "]\n")
            + (f.kind().hasFactor ? "factor = " + f.factor() + "\n" : "");
    }

    private static String milliseconds(long nanos) {
        return String.format(Locale.ROOT, "%dms", nanos / NANOS_PER_MILLI);
    }

    /** Returns the text with the faults of a found scenario and a single seed. */
    public static String with(String text, String name, Scenario found, long seed) {
        return with(text, name, found.faults(), List.of(seed));
    }
}
