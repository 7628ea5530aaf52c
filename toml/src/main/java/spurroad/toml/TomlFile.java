package spurroad.toml;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * One TOML file as it is read: values are asked of its {@link #root} with what is allowed, all that is wrong
 * is gathered, and {@link #check} tells it at once. What was never asked for is unknown, and refused with the
 * nearest key that was. Not for several threads.
 */
public final class TomlFile {
    private final String name;
    private final KeyLocations lines;
    private final List<Fault> faults = new ArrayList<>();
    private final Table root;

    private TomlFile(String name, String text, JsonNode json) {
        this.name = name;
        lines = new KeyLocations(text);
        root = new Table(this, "", (ObjectNode) json);
    }

    /** Reads a file; it must be there and be TOML. */
    public static TomlFile read(Path path) throws FaultyFileException {
        try {
            return of(path.toString(), Files.readString(path));
        } catch (IOException e) {
            throw new FaultyFileException(List.of(new Fault(path.toString(), 0, "", "can't be read ("
                + e.getClass().getSimpleName() + "); expected a TOML file")));
        }
    }

    /** Reads a text; the name is what faults are told under. */
    public static TomlFile of(String name, String text) throws FaultyFileException {
        try {
            JsonNode json = new TomlMapper().readTree(text);
            return new TomlFile(name, text, json.isObject() ? json : new TomlMapper().createObjectNode());
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            throw new FaultyFileException(List.of(new Fault(name, at == null ? 0 : at.getLineNr(), "",
                "is not TOML: " + e.getOriginalMessage())));
        }
    }

    /**
     * Puts another value in the place of a key, before anything is read.
     *
     * @param path such as {@code load.rate} or {@code world.nodes[0].count}; its tables must be there
     * @param value as it would stand in the file
     */
    public void set(String path, String value) throws FaultyFileException {
        JsonNode read;
        try {
            read = new TomlMapper().readTree("v = " + value).get("v");
        } catch (JsonProcessingException e) {
            try {
                // a word without its quotes
                read = new TomlMapper().readTree("v = \"" + value + "\"").get("v");
            } catch (JsonProcessingException e2) {
                throw new FaultyFileException(List.of(new Fault(name, 0, path, "is set to " + value
                    + ", which is no value")));
            }
        }
        JsonNode at = root.json();
        String[] parts = path.replace("[", ".[").split("\\.");
        for (int i = 0; i < parts.length - 1 && at != null; i++) {
            at = parts[i].startsWith("[")
                ? at.get(Integer.parseInt(parts[i].substring(1, parts[i].length() - 1)))
                : at.get(parts[i]);
        }
        if (!(at instanceof ObjectNode table) || parts[parts.length - 1].startsWith("[")) {
            throw new FaultyFileException(
                List.of(new Fault(name, 0, path, "can't be set: there is no such table")));
        }
        table.set(parts[parts.length - 1], read);
    }

    /** The table of the whole file. */
    public Table root() {
        return root;
    }

    /** The file's name, as faults tell it. */
    public String name() {
        return name;
    }

    /** To be called once all has been read: throws if anything was wrong. */
    public void check() throws FaultyFileException {
        root.refuseUnknown();
        if (!faults.isEmpty()) {
            faults.sort(Comparator.comparingInt(Fault::line));
            throw new FaultyFileException(faults);
        }
    }

    void fault(String path, String expected) {
        faults.add(new Fault(name, lines.of(path), path, expected));
    }
}
