package spurroad.rig.scale;

import java.util.LinkedHashMap;
import java.util.Map;

/** Series by the names of their measurements. */
public final class Results {
    private final Map<String, Series> series = new LinkedHashMap<>();

    /** Takes a series in. */
    public void add(Series measured) {
        series.put(measured.measure().name(), measured);
    }

    /** The series of a measurement, which must have been taken. */
    Series of(String name) {
        Series found = series.get(name);
        if (found == null) {
            throw new IllegalStateException("measurement " + name + " was not taken");
        }
        return found;
    }
}
