package spurroad.toml;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * A TOML file with its diagnostics. Callers read values from the {@link #root} table and state which values
 * are allowed; the file collects the diagnostics, and {@link #validate} throws all of them at once. A key
 * that the caller has not read is unknown and is reported with the most similar known key. Not thread-safe.
 */
public final class TomlFile {
    private static final ObjectMapper PARSER = new TomlMapper();
    private static final String OVERRIDE_KEY = "value"; // key of the document as which an override is parsed

    private final String name;
    private final KeyLines keyLines;
    private final List<Diagnostic> diagnostics = new ArrayList<>();
    private final TomlTable root;

    private TomlFile(String name, String text, ObjectNode json) {
        this.name = name;
        keyLines = new KeyLines(text);
        root = new TomlTable(this, "", json);
    }

    /** Reads a file; throws if it can't be read or is not TOML. */
    public static TomlFile read(Path path) throws InvalidFileException {
        try {
            return parse(path.toString(), Files.readString(path));
        } catch (IOException e) {
            String reason = e.getClass().getSimpleName();
            throw invalid(path.toString(), 0, "", "can't be read (" + reason + "); expected a TOML file");
        }
    }

    /** Parses a TOML document; diagnostics report the given name as the file. */
    public static TomlFile parse(String name, String text) throws InvalidFileException {
        try {
            JsonNode json = PARSER.readTree(text);
            return new TomlFile(name, text,
                json instanceof ObjectNode table ? table : PARSER.createObjectNode());
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            int line = location == null ? 0 : location.getLineNr();
            throw invalid(name, line, "", "is not TOML: " + e.getOriginalMessage());
        }
    }

    /**
     * Replaces the value of a key. Must be called before any value is read.
     *
     * @param path path of the key, such as {@code load.rate} or {@code world.nodes[0].count}; its tables must
     *     exist
     * @param value value in TOML syntax; a string may omit its quotes
     */
    public void override(String path, String value) throws InvalidFileException {
        JsonNode parsed = parseOverride(path, value);
        String[] segments = path.replace("[", ".[").split("\\.");
        String lastSegment = segments[segments.length - 1];
        JsonNode parent = root.json();
        for (int i = 0; i < segments.length - 1 && parent != null; i++) {
            parent = child(parent, segments[i]);
        }
        if (!(parent instanceof ObjectNode table) || isIndex(lastSegment)) {
            throw invalid(name, 0, path, "can't be set: there is no such table");
        }
        table.set(lastSegment, parsed);
    }

    private JsonNode parseOverride(String path, String value) throws InvalidFileException {
        return parseValue(value).or(() -> parseValue('"' + value + '"')) // a string without quotes
            .orElseThrow(() -> invalid(name, 0, path, "is set to " + value + ", which is no value"));
    }

    private static Optional<JsonNode> parseValue(String literal) {
        try {
            return Optional.of(PARSER.readTree(OVERRIDE_KEY + " = " + literal).get(OVERRIDE_KEY));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static boolean isIndex(String segment) {
        return segment.startsWith("[");
    }

    /** Returns the child that a step of a path selects; null if there is none. */
    private static JsonNode child(JsonNode parent, String segment) {
        if (!isIndex(segment)) {
            return parent.get(segment);
        }
        try {
            return parent.get(Integer.parseInt(segment.substring(1, segment.length() - 1)));
        } catch (NumberFormatException e) {
            return null; // an index that is not a number selects nothing
        }
    }

    /** Returns the top-level table. */
    public TomlTable root() {
        return root;
    }

    /** Returns the name of the file in diagnostics. */
    public String name() {
        return name;
    }

    /**
     * Throws all diagnostics, including those of unknown keys, if there are any. Must be called after all
     * values have been read.
     */
    public void validate() throws InvalidFileException {
        root.rejectUnknownKeys();
        if (!diagnostics.isEmpty()) {
            diagnostics.sort(Comparator.comparingInt(Diagnostic::line));
            throw new InvalidFileException(diagnostics);
        }
    }

    void addDiagnostic(String path, String message) {
        diagnostics.add(new Diagnostic(name, keyLines.lineOf(path), path, message));
    }

    private static InvalidFileException invalid(String name, int line, String key, String message) {
        return new InvalidFileException(List.of(new Diagnostic(name, line, key, message)));
    }
}
