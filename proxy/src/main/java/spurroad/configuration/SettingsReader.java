package spurroad.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Reads settings, stored as texts by paths such as {@code tracks.0.sloTimeUs}, with defaults and checks. The
 * length of a list of objects is stored at {@code PATH.count}; a list of plain values is joined by commas.
 */
final class SettingsReader {
    private static final long NANOS_PER_MICRO = 1_000L;

    private final Map<String, String> values = new HashMap<>();

    /** Reads lines of the form {@code path=value}. */
    static SettingsReader ofLines(String text) {
        SettingsReader reader = new SettingsReader();
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                reader.values.put(line.substring(0, equals).strip(), line.substring(equals + 1).strip());
            }
        }
        return reader;
    }

    /** Reads a parsed JSON value with all nested values. */
    static SettingsReader ofJson(Object json) {
        SettingsReader reader = new SettingsReader();
        reader.flatten("", json);
        return reader;
    }

    private void flatten(String path, Object json) {
        if (json instanceof Map<?, ?> object) {
            object.forEach(
                (name, value) -> flatten(path.isEmpty() ? name.toString() : path + "." + name, value));
        } else if (json instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            values.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i));
            }
        } else if (json instanceof List<?> list) {
            values.put(path,
                String.join(",", list.stream().map(SettingsReader::textWithoutSeparators).toList()));
        } else if (json != null) {
            values.put(path, textWithoutSeparators(json));
        }
    }

    /**
     * Returns the text of a value, with underscores in place of blanks and commas, which separate entries.
     */
    private static String textWithoutSeparators(Object value) {
        return String.valueOf(value).replace(' ', '_').replace(',', '_');
    }

    String text(String path, String defaultValue) {
        return values.getOrDefault(path, defaultValue);
    }

    String requiredText(String path) {
        String value = values.get(path);
        if (value == null) {
            throw new InvalidSettingException("setting " + path + " is missing");
        }
        return value;
    }

    double requiredNumber(String path) {
        requiredText(path);
        return number(path, 0);
    }

    double number(String path, double defaultValue) {
        String value = values.get(path);
        if (value == null) {
            return defaultValue;
        }
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // rejected below, like a number that is not finite
        }
        throw new InvalidSettingException("setting " + path + " is not a number");
    }

    /** Reads a time in microseconds and returns it in nanoseconds. */
    long nanosFromMicros(String path, long defaultMicros) {
        return (long) (number(path, defaultMicros) * NANOS_PER_MICRO);
    }

    /** Reads a truth value; false if it is absent. */
    boolean flag(String path) {
        return Boolean.parseBoolean(values.getOrDefault(path, "false"));
    }

    /** Returns the entries of a list of plain values; empty if it is absent. */
    List<String> list(String path) {
        String joined = text(path, "");
        return joined.isEmpty() ? List.of() : List.of(joined.split(","));
    }

    /** Returns the length of a list of objects; 0 if it is absent. */
    int count(String path) {
        return (int) number(path + ".count", 0);
    }

    /** Returns the length of a required list of objects. */
    int requiredCount(String path) {
        return (int) requiredNumber(path + ".count");
    }

    /** Returns one field of each object in a list; an empty text if an object does not have it. */
    List<String> fieldOfEach(String path, String field) {
        return IntStream.range(0, count(path)).mapToObj(i -> text(path + "." + i + "." + field, ""))
            .toList();
    }

    /** Checks that a number, if present, is greater than a bound. */
    void checkGreaterThan(String path, double bound) {
        if (values.containsKey(path) && number(path, 0) <= bound) {
            throw new InvalidSettingException("setting " + path + " is not over " + (long) bound);
        }
    }

    /**
     * Checks that a number, if present, is an index into a list.
     *
     * @param length the length of the list
     * @param listName the name of the list, for the error message
     */
    void checkIndex(String path, int length, String listName) {
        double number = number(path, 0);
        if (values.containsKey(path) && (number < 0 || number >= length || number != Math.rint(number))) {
            throw new InvalidSettingException(
                "setting " + path + " is none of the " + length + " of " + listName);
        }
    }

    /** Checks that values, if present, are {@code true} or {@code false}. */
    void checkFlags(String... paths) {
        for (String path : paths) {
            String value = values.getOrDefault(path, "true");
            if (!value.equals("true") && !value.equals("false")) {
                throw new InvalidSettingException("setting " + path + " is neither true nor false");
            }
        }
    }
}
