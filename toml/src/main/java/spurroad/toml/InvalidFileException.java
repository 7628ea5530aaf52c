package spurroad.toml;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if a file is invalid; carries the diagnostics of all errors, ordered by line. */
public final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<Diagnostic> diagnostics;

    /** Creates an exception whose message has one line per diagnostic. */
    public InvalidFileException(List<Diagnostic> diagnostics) {
        super(diagnostics.stream().map(Diagnostic::toString).collect(Collectors.joining("\n")));
        this.diagnostics = List.copyOf(diagnostics);
    }

    /** Returns the diagnostics of all errors in the file, ordered by line. */
    public List<Diagnostic> diagnostics() {
        return diagnostics;
    }
}
