package spurroad.toml;

import java.util.HashMap;
import java.util.Map;

/**
 * Where the keys of a TOML text stand. The parser that reads values keeps no places, so this goes over the
 * lines once more and notes tables and keys; what stands inside an inline table or an array is told as
 * standing where that begins. Only for texts that the parser has taken.
 */
final class KeyLocations {
    private final Map<String, Integer> lines = new HashMap<>();
    private final Map<String, Integer> lastOfArray = new HashMap<>();
    private String table = "";
    private String untilQuote; // inside a text of several lines: what ends it
    private int open; // brackets of a value that goes on

    KeyLocations(String text) {
        int number = 0;
        for (String line : text.split("\n", -1)) {
            take(++number, line.strip());
        }
    }

    /** The line of a key, or of the nearest table round it; 0 where there is none. */
    int of(String path) {
        String p = path;
        while (!lines.containsKey(p)) {
            int cut = Math.max(p.lastIndexOf('.'), p.lastIndexOf('['));
            if (cut <= 0) {
                return 0;
            }
            p = p.substring(0, cut);
        }
        return lines.get(p);
    }

    private void take(int number, String line) {
        if (untilQuote != null || open > 0) {
            goOn(line);
        } else if (line.startsWith("[[")) {
            table = header(line.substring(2, line.indexOf("]]")), true);
            lines.putIfAbsent(table, number);
        } else if (line.startsWith("[")) {
            table = header(line.substring(1, line.indexOf(']')), false);
            lines.putIfAbsent(table, number);
        } else if (!line.isEmpty() && line.charAt(0) != '#') {
            int cut = signAt(line);
            if (cut > 0) {
                lines.putIfAbsent(join(table, bare(line.substring(0, cut))), number);
                goOn(line.substring(cut + 1));
            }
        }
    }

    /** The path of a table; each array of tables on the way stands for its last entry. */
    private String header(String name, boolean another) {
        String path = "";
        String[] parts = bare(name).split("\\.");
        for (int i = 0; i < parts.length; i++) {
            path = join(path, parts[i]);
            if (another && i == parts.length - 1) {
                lastOfArray.merge(path, 0, (was, first) -> was + 1);
            }
            if (lastOfArray.containsKey(path)) {
                path += "[" + lastOfArray.get(path) + "]";
            }
        }
        return path;
    }

    private static String join(String table, String key) {
        return table.isEmpty() ? key : table + "." + key;
    }

    private static String bare(String name) {
        return name.replaceAll("[\"'\\s]", "");
    }

    private static int signAt(String line) {
        char quote = 0;
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            if (quote != 0) {
                quote = c == quote ? 0 : quote;
            } else if (c == '"' || c == '\'') {
                quote = c;
            } else if (c == '=') {
                return i;
            }
        }
        return -1;
    }

    /**
     * Follows a value over its brackets, texts and comments, to know whether the next line still belongs to
     * it.
     */
    private void goOn(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (untilQuote != null) {
                if (c == '\\' && untilQuote.charAt(0) == '"') {
                    i++;
                } else if (value.startsWith(untilQuote, i)) {
                    i += untilQuote.length() - 1;
                    untilQuote = null;
                }
            } else if (c == '#') {
                break;
            } else if (c == '"' || c == '\'') {
                String three = String.valueOf(c).repeat(3);
                untilQuote = value.startsWith(three, i) ? three : String.valueOf(c);
                i += untilQuote.length() - 1;
            } else if (c == '[' || c == '{') {
                open++;
            } else if (c == ']' || c == '}') {
                open--;
            }
        }
        untilQuote = untilQuote != null && untilQuote.length() == 1 ? null : untilQuote; // ends with its line
    }
}
