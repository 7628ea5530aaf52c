package spurroad.testbed.capacity;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/** A table as Markdown has it. */
final class MarkdownTable {
    private static final int DIGITS = 3; // that a figure is told with
    private final List<String> lines = new ArrayList<>();

    MarkdownTable(List<String> headings) {
        row(headings);
        row(Collections.nCopies(headings.size(), "---"));
    }

    void row(List<String> cells) {
        lines.add("| " + String.join(" | ", cells) + " |");
    }

    void row(String... cells) {
        row(List.of(cells));
    }

    /** Three digits, with separators between thousands. */
    static String figure(double value) {
        if (value == 0) {
            return "0";
        }
        int before = (int) Math.floor(Math.log10(Math.abs(value))) + 1;
        if (before >= DIGITS) {
            double unit = Math.pow(10, before - DIGITS);
            return String.format(Locale.ROOT, "%,d", Math.round(Math.round(value / unit) * unit));
        }
        return String.format(Locale.ROOT, "%." + Math.min(9, DIGITS - before) + "f", value);
    }

    /** A number of things, rounded to a whole one where there are many. */
    static String count(double value) {
        return value < 100 && value != Math.rint(value) ? figure(value)
            : String.format(Locale.ROOT, "%,d", Math.round(value));
    }

    /** A part as a percentage. */
    static String percent(double part) {
        return String.format(Locale.ROOT, "%.0f%%", 100 * part);
    }

    @Override
    public String toString() {
        return String.join("\n", lines) + "\n";
    }
}
