package spurroad.operation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** The figures in the form of statsd, one line each, read from their sources when they are asked for. */
public final class Figures {
    private static final String PREFIX = "proxy.";

    /** A name and what it stands at; counters only grow. */
    public record Figure(String name, long value, boolean counter) {}

    private final List<Supplier<List<Figure>>> sources = new ArrayList<>();

    /** One that only grows, since the start of the process. */
    public Figures counter(String name, LongSupplier value) {
        sources.add(() -> List.of(new Figure(name, value.getAsLong(), true)));
        return this;
    }

    /** One that stands at something now. */
    public Figures gauge(String name, LongSupplier value) {
        sources.add(() -> List.of(new Figure(name, value.getAsLong(), false)));
        return this;
    }

    /** Some whose names may change. */
    public Figures several(Supplier<List<Figure>> figures) {
        sources.add(figures);
        return this;
    }

    /** Reads each, in the order in which they were added. */
    public void each(Consumer<Figure> to) {
        sources.forEach(source -> source.get().forEach(to));
    }

    String lines() {
        StringBuilder lines = new StringBuilder();
        each(f -> lines.append(PREFIX).append(f.name).append(':').append(f.value)
            .append(f.counter ? "|c\n" : "|g\n"));
        return lines.toString();
    }
}
