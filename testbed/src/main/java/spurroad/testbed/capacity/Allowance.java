package spurroad.testbed.capacity;

import java.util.Locale;

/**
 * What may be spent on control.
 *
 * @param value the most
 * @param unit of it
 */
record Allowance(double value, String unit) {
    static final Allowance PROXY_CPU = new Allowance(5, "% of a core");
    static final Allowance PROXY_MEMORY = new Allowance(64, "MB");
    static final Allowance PROXY_NETWORK = new Allowance(17, "KB/s");
    static final Allowance PROXY_DESCRIPTORS = new Allowance(1_024, "descriptors");
    static final Allowance LIST_LINE = new Allowance(4_194.304, "KB"); // Http.MAX_LIST_BYTES
    static final Allowance CONTROL_CORE = new Allowance(100, "% of a core"); // one serving thread a machine

    /** How a value stands to it. */
    String verdict(double spent) {
        return spent <= value ? MarkdownTable.percent(spent / value)
            : String.format(Locale.ROOT, "**over, %s times**", MarkdownTable.figure(spent / value));
    }

    String text() {
        return MarkdownTable.figure(value) + " " + unit;
    }
}
