package spurroad.testbed.capacity;

import java.util.List;
import java.util.Optional;

/** All measurements, in the order of the report. */
public final class Measures {
    private static final List<Measure> ALL = List.of(new RequestDecisions(), new ListChanges(),
        new ListReading(),
        new PeerMessages(), new ControlDecisions(), new Subscribers(),
        new DiscoveryWatches());

    private Measures() {}

    /** Returns all measurements. */
    public static List<Measure> all() {
        return ALL;
    }

    /** Returns the measurement of a name. */
    public static Optional<Measure> named(String name) {
        return ALL.stream().filter(measure -> measure.name().equals(name)).findFirst();
    }
}
