package spurroad.toml;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * A table of a TOML file. Each getter reads one key. For an invalid value it records a diagnostic in the file
 * and returns a substitute (the default, the minimum or an empty value), so that reading continues and all
 * errors are found. A key that no getter has read is unknown. Not thread-safe.
 */
public final class TomlTable {
    private static final int MAX_VALUE_LENGTH = 40; // characters of an invalid value in a diagnostic
    private static final String ELLIPSIS = "...";
    private static final double PLAIN_INTEGER_LIMIT = 1e15; // larger whole numbers are printed as doubles

    private final TomlFile file;
    private final String path;
    private final ObjectNode json;
    private final Set<String> knownKeys = new TreeSet<>();
    private final List<TomlTable> innerTables = new ArrayList<>();

    TomlTable(TomlFile file, String path, ObjectNode json) {
        this.file = file;
        this.path = path;
        this.json = json;
    }

    ObjectNode json() {
        return json;
    }

    /** Returns the full path of a key of this table, as used in diagnostics. */
    public String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /**
     * Records an error in the value of a key, such as one found after reading it; an empty key refers to the
     * whole table.
     */
    public void addDiagnostic(String key, String message) {
        file.addDiagnostic(key.isEmpty() ? path : path(key), message);
    }

    /** Returns whether the key is present, and marks it as known. */
    public boolean contains(String key) {
        knownKeys.add(key);
        return json.has(key);
    }

    // ---- scalar values and lists

    /** Returns a number from min to max, inclusive; the default if the key is missing. */
    public double getDouble(String key, double defaultValue, double min, double max) {
        return contains(key) ? requireDouble(key, min, max) : defaultValue;
    }

    /** Returns a number from min to max, inclusive; the key is required. */
    public double requireDouble(String key, double min, double max) {
        return requireValue(key, "a number" + describeRange(min, max),
            value -> value.isNumber() && value.asDouble() >= min && value.asDouble() <= max)
            .map(JsonNode::asDouble).orElse(min);
    }

    /** Returns an integer from min to max, inclusive; the default if the key is missing. */
    public int getInt(String key, int defaultValue, int min, int max) {
        return contains(key) ? requireInt(key, min, max) : defaultValue;
    }

    /** Returns an integer from min to max, inclusive; the key is required. */
    public int requireInt(String key, int min, int max) {
        return requireValue(key, "a whole number" + describeRange(min, max), value -> value.isIntegralNumber()
            && value.canConvertToInt() && value.asInt() >= min && value.asInt() <= max)
            .map(JsonNode::asInt).orElse(min);
    }

    /** Returns a duration, written with its unit, in nanoseconds; the default if the key is missing. */
    public long getDurationNanos(String key, long defaultNanos, long minNanos, long maxNanos) {
        return contains(key) ? requireDurationNanos(key, minNanos, maxNanos) : defaultNanos;
    }

    /** Returns a duration, written with its unit, in nanoseconds; the key is required. */
    public long requireDurationNanos(String key, long minNanos, long maxNanos) {
        String expected = DurationFormat.DESCRIPTION + " from " + DurationFormat.format(minNanos) + " to "
            + DurationFormat.format(maxNanos);
        Optional<JsonNode> value = findRequired(key, expected);
        if (value.isEmpty()) {
            return minNanos;
        }
        String text = value.get().isTextual() ? value.get().asText() : "";
        OptionalLong nanos = DurationFormat.parse(text, minNanos, maxNanos);
        if (nanos.isEmpty()) {
            addInvalidValue(path(key), value.get(), expected);
        }
        return nanos.orElse(minNanos);
    }

    /** Returns a non-empty string; the default if the key is missing. */
    public String getString(String key, String defaultValue) {
        return contains(key) ? requireString(key) : defaultValue;
    }

    /** Returns a non-empty string; the key is required. */
    public String requireString(String key) {
        Optional<JsonNode> value = findRequired(key, "a text");
        if (value.isEmpty()) {
            return "";
        }
        boolean isNonEmptyString = value.get().isTextual() && !value.get().asText().isEmpty();
        if (!isNonEmptyString) {
            addInvalidValue(path(key), value.get(), "a text that is not empty");
        }
        return isNonEmptyString ? value.get().asText() : "";
    }

    /** Returns a boolean; the default if the key is missing or its value is not a boolean. */
    public boolean getBoolean(String key, boolean defaultValue) {
        if (!contains(key)) {
            return defaultValue;
        }
        JsonNode value = json.get(key);
        if (!value.isBoolean()) {
            addInvalidValue(path(key), value, "true or false");
            return defaultValue;
        }
        return value.asBoolean();
    }

    /** Returns the enum constant that a key names; the default if the key is missing or names none. */
    public <E extends Enum<E>> E getEnum(String key, Class<E> type, E defaultValue) {
        if (!contains(key)) {
            return defaultValue;
        }
        String text = json.get(key).asText();
        for (E constant : type.getEnumConstants()) {
            if (enumName(constant).equals(text)) {
                return constant;
            }
        }
        addInvalidValue(path(key), json.get(key), describeConstants(type));
        return defaultValue;
    }

    /** Returns the enum constant that a required key names; null if the key is missing or names none. */
    public <E extends Enum<E>> E requireEnum(String key, Class<E> type) {
        findRequired(key, describeConstants(type));
        return getEnum(key, type, null);
    }

    private static <E extends Enum<E>> String describeConstants(Class<E> type) {
        return "one of "
            + Arrays.stream(type.getEnumConstants()).map(TomlTable::enumName)
                .collect(Collectors.joining(", "));
    }

    /** Returns the name of an enum constant in files: lower case, with dashes. */
    public static String enumName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns a list of strings; empty if the key is missing. */
    public List<String> getStrings(String key) {
        return getList(key, "a list of texts", value -> value.isTextual() ? value.asText() : null);
    }

    /** Returns a list of integers; empty if the key is missing. */
    public List<Long> getLongs(String key) {
        return getList(key, "a list of whole numbers",
            value -> value.isIntegralNumber() ? value.asLong() : null);
    }

    /** Returns the elements of a list; the reader returns null for an invalid element. */
    private <T> List<T> getList(String key, String expected, Function<JsonNode, T> reader) {
        if (!contains(key)) {
            return new ArrayList<>();
        }
        JsonNode list = json.get(key);
        List<T> elements = new ArrayList<>();
        for (JsonNode value : list) {
            elements.add(reader.apply(value));
        }
        if (!list.isArray() || elements.contains(null)) {
            addInvalidValue(path(key), list, expected);
            return new ArrayList<>();
        }
        return elements;
    }

    // ---- tables

    /** Returns an inner table; an empty one if the key is missing, so that its defaults apply. */
    public TomlTable getTable(String key) {
        JsonNode value = contains(key) ? json.get(key) : JsonNodeFactory.instance.objectNode();
        if (!value.isObject()) {
            addInvalidValue(path(key), value, "a table");
            value = JsonNodeFactory.instance.objectNode();
        }
        return addInnerTable(path(key), (ObjectNode) value);
    }

    /** Returns an array of tables; empty if the key is missing. */
    public List<TomlTable> getTables(String key) {
        List<TomlTable> tables = new ArrayList<>();
        if (!contains(key)) {
            return tables;
        }
        JsonNode array = json.get(key);
        if (!array.isArray()) {
            addInvalidValue(path(key), array, "tables, each under [[" + path(key) + "]]");
            return tables;
        }
        for (int i = 0; i < array.size(); i++) {
            String elementPath = path(key) + "[" + i + "]";
            if (array.get(i) instanceof ObjectNode element) {
                tables.add(addInnerTable(elementPath, element));
            } else {
                addInvalidValue(elementPath, array.get(i), "a table");
            }
        }
        return tables;
    }

    private TomlTable addInnerTable(String innerPath, ObjectNode value) {
        TomlTable table = new TomlTable(file, innerPath, value);
        innerTables.add(table);
        return table;
    }

    // ---- diagnostics

    private Optional<JsonNode> findRequired(String key, String expected) {
        if (contains(key)) {
            return Optional.of(json.get(key));
        }
        file.addDiagnostic(path(key), "is missing; expected " + expected);
        return Optional.empty();
    }

    /** Returns the value of a required key; empty, with a diagnostic, if it is missing or not allowed. */
    private Optional<JsonNode> requireValue(String key, String expected, Predicate<JsonNode> isAllowed) {
        Optional<JsonNode> value = findRequired(key, expected);
        if (value.isPresent() && !isAllowed.test(value.get())) {
            addInvalidValue(path(key), value.get(), expected);
            return Optional.empty();
        }
        return value;
    }

    private void addInvalidValue(String keyPath, JsonNode value, String expected) {
        file.addDiagnostic(keyPath, "is " + abbreviate(value) + "; expected " + expected);
    }

    private static String abbreviate(JsonNode value) {
        String text = value.toString();
        return text.length() > MAX_VALUE_LENGTH
            ? text.substring(0, MAX_VALUE_LENGTH - ELLIPSIS.length()) + ELLIPSIS : text;
    }

    private static String describeRange(double min, double max) {
        return " from " + formatNumber(min) + " to " + formatNumber(max);
    }

    private static String formatNumber(double value) {
        boolean isWhole = value == Math.rint(value) && Math.abs(value) < PLAIN_INTEGER_LIMIT;
        return isWhole ? Long.toString((long) value) : Double.toString(value);
    }

    /** Records a diagnostic for each key that was never read, in this table and its inner tables. */
    void rejectUnknownKeys() {
        for (Iterator<String> names = json.fieldNames(); names.hasNext();) {
            String name = names.next();
            if (!knownKeys.contains(name)) {
                file.addDiagnostic(path(name), "is not known here; " + suggestion(name));
            }
        }
        innerTables.forEach(TomlTable::rejectUnknownKeys);
    }

    private String suggestion(String unknownKey) {
        Optional<String> nearest = EditDistance.nearest(unknownKey, knownKeys);
        if (nearest.isPresent()) {
            return "did you mean " + nearest.get() + "?";
        }
        return "expected " + (knownKeys.isEmpty() ? "nothing" : String.join(", ", knownKeys));
    }
}
