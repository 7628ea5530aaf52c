package spurroad.toml;

import java.util.HashMap;
import java.util.Map;

/**
 * Maps the keys of a TOML document to their line numbers. The parser that reads the values does not keep
 * source positions, so this class scans the lines again and records tables and keys. A key inside an inline
 * table or an array gets the line on which that value begins. Requires a document that the parser has
 * accepted.
 */
final class KeyLines {
    private final Map<String, Integer> lineByPath = new HashMap<>();
    private final Map<String, Integer> lastIndexByPath = new HashMap<>(); // of arrays of tables, by path
    private final ValueScanner valueScanner = new ValueScanner();
    private String currentTable = "";

    KeyLines(String text) {
        int lineNumber = 0;
        for (String line : text.split("\n", -1)) {
            scanLine(++lineNumber, line.strip());
        }
    }

    /** Returns the line of a key, or else of the innermost table that contains it; 0 if there is neither. */
    int lineOf(String path) {
        String ancestor = path;
        while (!lineByPath.containsKey(ancestor)) {
            int separator = Math.max(ancestor.lastIndexOf('.'), ancestor.lastIndexOf('['));
            if (separator <= 0) {
                return 0;
            }
            ancestor = ancestor.substring(0, separator);
        }
        return lineByPath.get(ancestor);
    }

    private void scanLine(int lineNumber, String line) {
        if (valueScanner.isUnfinished()) {
            valueScanner.scan(line);
        } else if (line.startsWith("[[")) {
            currentTable = tablePath(line.substring(2, line.indexOf("]]")), true);
            lineByPath.putIfAbsent(currentTable, lineNumber);
        } else if (line.startsWith("[")) {
            currentTable = tablePath(line.substring(1, line.indexOf(']')), false);
            lineByPath.putIfAbsent(currentTable, lineNumber);
        } else if (!line.isEmpty() && line.charAt(0) != '#') {
            scanKey(lineNumber, line);
        }
    }

    private void scanKey(int lineNumber, String line) {
        int equalsSign = indexOfEqualsSign(line);
        if (equalsSign > 0) {
            lineByPath.putIfAbsent(join(currentTable, removeQuotesAndSpaces(line.substring(0, equalsSign))),
                lineNumber);
            valueScanner.scan(line.substring(equalsSign + 1));
        }
    }

    /** Returns the path of a table header; an array of tables in the path refers to its last element. */
    private String tablePath(String header, boolean isArrayElement) {
        String path = "";
        String[] names = removeQuotesAndSpaces(header).split("\\.");
        for (int i = 0; i < names.length; i++) {
            path = join(path, names[i]);
            if (isArrayElement && i == names.length - 1) {
                lastIndexByPath.merge(path, 0, (lastIndex, first) -> lastIndex + 1);
            }
            if (lastIndexByPath.containsKey(path)) {
                path += "[" + lastIndexByPath.get(path) + "]";
            }
        }
        return path;
    }

    private static String join(String table, String key) {
        return table.isEmpty() ? key : table + "." + key;
    }

    private static String removeQuotesAndSpaces(String name) {
        return name.replaceAll("[\"'\\s]", "");
    }

    /** Returns the index of the first equals sign outside quotes; -1 if there is none. */
    private static int indexOfEqualsSign(String line) {
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
}
