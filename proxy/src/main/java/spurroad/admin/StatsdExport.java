package spurroad.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Exports metrics in the text format of statsd, one line each. Values are read from their sources at each
 * export, on the exporting thread. All sources must be added before the first export.
 */
public final class StatsdExport {
    private static final String PREFIX = "proxy.";

    /** The statsd type of a metric. */
    public enum MetricType {
        /** A count that never decreases during the lifetime of the process. */
        COUNTER("|c"),
        /** The current value of a quantity. */
        GAUGE("|g");

        private final String suffix;

        MetricType(String suffix) {
            this.suffix = suffix;
        }
    }

    /** The value of a metric at the time of an export. */
    public record Metric(String name, long value, MetricType type) {}

    private final List<Supplier<List<Metric>>> sources = new ArrayList<>();

    /** Adds a count that never decreases during the lifetime of the process. */
    public StatsdExport counter(String name, LongSupplier value) {
        return metrics(() -> List.of(new Metric(name, value.getAsLong(), MetricType.COUNTER)));
    }

    /** Adds the current value of a quantity. */
    public StatsdExport gauge(String name, LongSupplier value) {
        return metrics(() -> List.of(new Metric(name, value.getAsLong(), MetricType.GAUGE)));
    }

    /** Adds a source of metrics whose number and names may change between two exports. */
    public StatsdExport metrics(Supplier<List<Metric>> source) {
        sources.add(source);
        return this;
    }

    /** Reads all metrics and passes them to an action, in the order in which their sources were added. */
    public void forEach(Consumer<Metric> action) {
        sources.forEach(source -> source.get().forEach(action));
    }

    String format() {
        StringBuilder lines = new StringBuilder();
        forEach(metric -> lines.append(PREFIX).append(metric.name).append(':').append(metric.value)
            .append(metric.type.suffix).append('\n'));
        return lines.toString();
    }
}
