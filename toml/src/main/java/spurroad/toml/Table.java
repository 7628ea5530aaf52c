package spurroad.toml;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * One table of a TOML file. Each method reads one key; a value that is not allowed is noted as a fault of the
 * file, and the default (or the least that is allowed) is given back, so that reading goes on and all faults
 * are found.
 */
public final class Table {
    private static final int FAR = 3; // letters; a key that differs by more is no slip of the pen
    private static final Pattern TIME = Pattern.compile("(\\d+(?:\\.\\d+)?)(us|ms|s|min|h)");
    private static final Map<String, Double> NS = Map.of("us", 1e3, "ms", 1e6, "s", 1e9, "min", 60e9, "h",
        3600e9);
    private static final String TIME_FORM = "a time such as \"250ms\", \"2s\" or \"5min\"";

    private final TomlFile file;
    private final String path;
    private final ObjectNode json;
    private final Set<String> known = new TreeSet<>();
    private final List<Table> inner = new ArrayList<>();

    Table(TomlFile file, String path, ObjectNode json) {
        this.file = file;
        this.path = path;
        this.json = json;
    }

    ObjectNode json() {
        return json;
    }

    /** The path of a key of this table, as faults name it. */
    public String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Notes that the value of a key, though read, can't be used. */
    public void fault(String key, String expected) {
        file.fault(key.isEmpty() ? path : path(key), expected);
    }

    /** Whether the key is there; it counts as known from then on. */
    public boolean has(String key) {
        known.add(key);
        return json.has(key);
    }

    // ---- plain values

    /** A number between two bounds, both allowed; the other where it is missing. */
    public double number(String key, double otherwise, double least, double most) {
        return has(key) ? needNumber(key, least, most) : otherwise;
    }

    /** A number that must be there. */
    public double needNumber(String key, double least, double most) {
        JsonNode value = checked(key, "a number" + range(least, most),
            v -> v.isNumber() && v.asDouble() >= least && v.asDouble() <= most);
        return value != null ? value.asDouble() : least;
    }

    /** A whole number between two bounds, both allowed; the other where it is missing. */
    public int whole(String key, int otherwise, int least, int most) {
        return has(key) ? needWhole(key, least, most) : otherwise;
    }

    /** A whole number that must be there. */
    public int needWhole(String key, int least, int most) {
        JsonNode value = checked(key, "a whole number" + range(least, most), v -> v.isIntegralNumber()
            && v.canConvertToInt() && v.asInt() >= least && v.asInt() <= most);
        return value != null ? value.asInt() : least;
    }

    /** A time in nanoseconds, written with its unit; the other where it is missing. */
    public long time(String key, long otherwiseNs, long leastNs, long mostNs) {
        return has(key) ? needTime(key, leastNs, mostNs) : otherwiseNs;
    }

    /** A time that must be there. */
    public long needTime(String key, long leastNs, long mostNs) {
        String form = TIME_FORM + " from " + time(leastNs) + " to " + time(mostNs);
        JsonNode value = need(key, form);
        Matcher m = TIME.matcher(value != null && value.isTextual() ? value.asText() : "");
        if (m.matches()) {
            double ns = Double.parseDouble(m.group(1)) * NS.get(m.group(2));
            if (ns >= leastNs && ns <= mostNs) {
                return Math.round(ns);
            }
        }
        wrong(key, value, form);
        return leastNs;
    }

    /** A time in the largest unit that it is a whole number of. */
    public static String time(long ns) {
        if (ns != 0 && ns % 60_000_000_000L == 0) {
            return ns / 60_000_000_000L + "min";
        }
        return ns % 1_000_000_000L == 0 ? ns / 1_000_000_000L + "s"
            : ns % 1_000_000L == 0 ? ns / 1_000_000L + "ms" : ns / 1000.0 + "us";
    }

    /** A text, not empty; the other where it is missing. */
    public String text(String key, String otherwise) {
        return has(key) ? needText(key) : otherwise;
    }

    /** A text that must be there, not empty. */
    public String needText(String key) {
        JsonNode value = need(key, "a text");
        if (value != null && value.isTextual() && !value.asText().isEmpty()) {
            return value.asText();
        }
        wrong(key, value, "a text that is not empty");
        return "";
    }

    /** True or false; the other value where the key is missing or is neither. */
    public boolean flag(String key, boolean otherwise) {
        if (has(key) && !json.get(key).isBoolean()) {
            wrong(key, json.get(key), "true or false");
        }
        return has(key) && json.get(key).isBoolean() ? json.get(key).asBoolean() : otherwise;
    }

    /** One of the names of an enum, in small letters with dashes; the other where it is missing. */
    public <E extends Enum<E>> E choice(String key, Class<E> of, E otherwise) {
        if (!has(key)) {
            return otherwise;
        }
        String text = json.get(key).asText();
        for (E e : of.getEnumConstants()) {
            if (name(e).equals(text)) {
                return e;
            }
        }
        wrong(key, json.get(key), "one of " + names(of));
        return otherwise;
    }

    /** The same where it must be there; null where it is not, or is none of them. */
    public <E extends Enum<E>> E needChoice(String key, Class<E> of) {
        need(key, "one of " + names(of));
        return choice(key, of, null);
    }

    private static <E extends Enum<E>> String names(Class<E> of) {
        return Arrays.stream(of.getEnumConstants()).map(Table::name).collect(Collectors.joining(", "));
    }

    /** How an enum's value is written in a file. */
    public static String name(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** A list of texts; empty where it is missing. */
    public List<String> texts(String key) {
        return list(key, "a list of texts", v -> v.isTextual() ? v.asText() : null);
    }

    /** A list of whole numbers; empty where it is missing. */
    public List<Long> wholes(String key) {
        return list(key, "a list of whole numbers", v -> v.isIntegralNumber() ? v.asLong() : null);
    }

    private <T> List<T> list(String key, String form, Function<JsonNode, T> read) {
        List<T> values = new ArrayList<>();
        if (has(key)) {
            JsonNode value = json.get(key);
            boolean all = value.isArray();
            for (JsonNode v : value) {
                T one = read.apply(v);
                all &= one != null;
                values.add(one);
            }
            if (!all) {
                wrong(key, value, form);
                values.clear();
            }
        }
        return values;
    }

    // ---- tables

    /** An inner table; an empty one where it is missing, so that its defaults hold. */
    public Table table(String key) {
        JsonNode value = has(key) ? json.get(key) : JsonNodeFactory.instance.objectNode();
        if (!value.isObject()) {
            wrong(key, value, "a table");
            value = JsonNodeFactory.instance.objectNode();
        }
        return inner(path(key), value);
    }

    /** An array of tables; empty where it is missing. */
    public List<Table> tables(String key) {
        List<Table> tables = new ArrayList<>();
        if (has(key)) {
            JsonNode value = json.get(key);
            if (!value.isArray()) {
                wrong(key, value, "tables, each under [[" + path(key) + "]]");
                return tables;
            }
            for (int i = 0; i < value.size(); i++) {
                if (value.get(i).isObject()) {
                    tables.add(inner(path(key) + "[" + i + "]", value.get(i)));
                } else {
                    file.fault(path(key) + "[" + i + "]", "is " + shown(value.get(i)) + "; expected a table");
                }
            }
        }
        return tables;
    }

    /** All inner tables by their names, whatever these are. */
    public Map<String, Table> named() {
        Map<String, Table> tables = new LinkedHashMap<>();
        for (Iterator<String> names = json.fieldNames(); names.hasNext();) {
            String name = names.next();
            tables.put(name, table(name));
        }
        return tables;
    }

    private Table inner(String at, JsonNode value) {
        Table table = new Table(file, at, (ObjectNode) value);
        inner.add(table);
        return table;
    }

    // ---- faults

    private JsonNode need(String key, String form) {
        if (!has(key)) {
            file.fault(path(key), "is missing; expected " + form);
            return null;
        }
        return json.get(key);
    }

    /** The value of a key that must be there; null, and noted, where it is not or doesn't fit its form. */
    private JsonNode checked(String key, String form, Predicate<JsonNode> fits) {
        JsonNode value = need(key, form);
        if (value == null || fits.test(value)) {
            return value;
        }
        wrong(key, value, form);
        return null;
    }

    private void wrong(String key, JsonNode value, String form) {
        if (value != null) {
            file.fault(path(key), "is " + shown(value) + "; expected " + form);
        }
    }

    private static String shown(JsonNode value) {
        String text = value.toString();
        return text.length() > 40 ? text.substring(0, 37) + "..." : text;
    }

    private static String range(double least, double most) {
        return " from " + plain(least) + " to " + plain(most);
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value)
            : Double.toString(value);
    }

    void refuseUnknown() {
        for (Iterator<String> names = json.fieldNames(); names.hasNext();) {
            String name = names.next();
            if (!known.contains(name)) {
                String nearest = known.stream().filter(k -> distance(k, name) <= FAR)
                    .min((a, b) -> distance(a, name) - distance(b, name)).orElse(null);
                file.fault(path(name),
                    "is not known here; " + (nearest != null ? "did you mean " + nearest + "?"
                        : known.isEmpty() ? "expected nothing" : "expected " + String.join(", ", known)));
            }
        }
        inner.forEach(Table::refuseUnknown);
    }

    /** The number of letters put in, left out or changed between two words (Levenshtein, 1966). */
    static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        Arrays.setAll(row, i -> i);
        for (int i = 1; i <= a.length(); i++) {
            int corner = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int above = row[j];
                int change = corner + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(change, Math.min(above, row[j - 1]) + 1);
                corner = above;
            }
        }
        return row[b.length()];
    }
}
