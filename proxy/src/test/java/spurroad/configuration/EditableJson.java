package spurroad.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;
import spurroad.protocol.Json;
import spurroad.protocol.ProtocolException;

/**
 * A JSON document whose values can be set and removed by paths such as {@code settings.tracks.0.name}.
 */
final class EditableJson {
    private final Object root;

    /** Parses a text in which single quotes may be used for double quotes. */
    EditableJson(String text) {
        root = mutableCopy(parse(text));
    }

    private static Object parse(String text) {
        try {
            return Json.read(text.replace('\'', '"'));
        } catch (ProtocolException e) {
            throw new IllegalArgumentException(text, e);
        }
    }

    private static Object mutableCopy(Object value) {
        if (value instanceof Map<?, ?> object) {
            Map<String, Object> copy = new TreeMap<>();
            object.forEach((name, inner) -> copy.put((String) name, mutableCopy(inner)));
            return copy;
        }
        return value instanceof List<?> list
            ? new ArrayList<>(list.stream().map(EditableJson::mutableCopy).toList())
            : value;
    }

    /** Sets the value at a path to a JSON text; missing objects along the path are created. */
    EditableJson with(String path, String json) {
        String[] names = path.split("\\.");
        Object parent = parentOf(names);
        String last = names[names.length - 1];
        Object value = mutableCopy(parse(json));
        if (parent instanceof List<?>) {
            List<Object> list = asList(parent);
            int index = Integer.parseInt(last);
            if (index < list.size()) {
                list.set(index, value);
            } else {
                list.add(value);
            }
        } else {
            asObject(parent).put(last, value);
        }
        return this;
    }

    /** Removes the value at a path. */
    EditableJson without(String path) {
        String[] names = path.split("\\.");
        Object parent = parentOf(names);
        String last = names[names.length - 1];
        if (parent instanceof List<?>) {
            asList(parent).remove(Integer.parseInt(last));
        } else {
            asObject(parent).remove(last);
        }
        return this;
    }

    private Object parentOf(String... names) {
        Object current = root;
        for (int i = 0; i < names.length - 1; i++) {
            current = current instanceof List<?> list ? list.get(Integer.parseInt(names[i]))
                : asObject(current).computeIfAbsent(names[i], name -> new TreeMap<String, Object>());
        }
        return current;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> asObject(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    private static List<Object> asList(Object value) {
        return (List<Object>) value;
    }

    /** Returns the JSON text. */
    String text() {
        return text(root);
    }

    private static String text(Object value) {
        if (value instanceof Map<?, ?> object) {
            StringJoiner fields = new StringJoiner(",", "{", "}");
            object.forEach((name, inner) -> fields.add("\"" + name + "\":" + text(inner)));
            return fields.toString();
        }
        if (value instanceof List<?> list) {
            StringJoiner entries = new StringJoiner(",", "[", "]");
            list.forEach(entry -> entries.add(text(entry)));
            return entries.toString();
        }
        return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
    }

    /**
     * Returns the object at a path in the simulator's format for settings: one line for each plain value and
     * each list of plain values, and one for the length of each list of objects.
     */
    String lines(String path) {
        StringBuilder lines = new StringBuilder();
        appendLines("", asObject(root).get(path), lines);
        return lines.toString();
    }

    private static void appendLines(String path, Object value, StringBuilder lines) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (value instanceof Map<?, ?> object) {
            object.forEach((name, inner) -> appendLines(prefix + name, inner, lines));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            lines.append(prefix).append("count=").append(list.size()).append('\n');
            for (int i = 0; i < list.size(); i++) {
                appendLines(prefix + i, list.get(i), lines);
            }
        } else if (value instanceof List<?> list) {
            lines.append(path).append('=')
                .append(String.join(",", list.stream().map(String::valueOf).toList())).append('\n');
        } else {
            lines.append(path).append('=').append(value).append('\n');
        }
    }
}
