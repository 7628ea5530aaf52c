package spurroad.testbed.capacity;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Series by the names of their measurements; can be kept in a file, so that a report needs no other run. */
public final class Results {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** A series as it stands in a file; its columns are those that its measurement has. */
    private record Saved(List<Integer> sizes, List<List<List<Double>>> runs) {}

    private final Map<String, Series> series = new LinkedHashMap<>();

    /** Takes a series in. */
    public void add(Series measured) {
        series.put(measured.measure().name(), measured);
    }

    /** All series, in the order in which they were taken in. */
    public List<Series> all() {
        return List.copyOf(series.values());
    }

    /** The series of a measurement, which must have been taken. */
    Series of(String name) {
        Series found = series.get(name);
        if (found == null) {
            throw new IllegalStateException("measurement " + name + " was not taken");
        }
        return found;
    }

    /** Writes all series to a file. */
    public void write(Path file) throws IOException {
        Map<String, Saved> saved = new LinkedHashMap<>();
        series.forEach((name, s) -> saved.put(name, new Saved(s.sizes(), s.runs())));
        JSON.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), saved);
    }

    /**
     * Reads what was written.
     *
     * @throws IOException where the file can't be read, or names what is no measurement or has other columns
     *     now
     */
    public static Results read(Path file) throws IOException {
        Results results = new Results();
        Map<String, Saved> saved = JSON.readValue(file.toFile(), new TypeReference<Map<String, Saved>>() {});
        for (Map.Entry<String, Saved> entry : saved.entrySet()) {
            Measure measure = Measures.named(entry.getKey())
                .orElseThrow(() -> new IOException(file + ": there is no measurement " + entry.getKey()));
            Saved values = entry.getValue();
            int columns = measure.columns().size();
            boolean isWhole = values.sizes.size() == values.runs.size() && values.runs.stream()
                .allMatch(runs -> !runs.isEmpty() && runs.stream().allMatch(run -> run.size() == columns));
            if (!isWhole || values.sizes.isEmpty()) {
                throw new IOException(
                    file + ": " + measure.name() + " has not a value for each size and column");
            }
            results.add(new Series(measure, values.sizes, values.runs));
        }
        return results;
    }
}
