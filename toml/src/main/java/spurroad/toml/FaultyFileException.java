package spurroad.toml;

import java.util.List;
import java.util.stream.Collectors;

/** A file can't be used; holds all that is wrong with it, in the order of its lines. */
public final class FaultyFileException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<Fault> faults;

    /** With all faults of the file; each stands in the message on a line of its own. */
    public FaultyFileException(List<Fault> faults) {
        super(faults.stream().map(Fault::toString).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /** All that is wrong with the file, in the order of its lines. */
    public List<Fault> faults() {
        return faults;
    }
}
