package spurroad.protocol;

import java.util.HashSet;
import java.util.Set;

/**
 * The attributes of a request: {@code name=value} pairs separated by commas, at the offsets {@code from}
 * (inclusive) to {@code to} (exclusive) of the request line.
 */
record Attributes(String line, int from, int to) {
    /** The attributes of a line without an attribute list. */
    static final Attributes NONE = new Attributes("", 0, 0);

    private static final int NOT_FOUND = -1;
    private static final int MAX_LINEAR_SEARCH_NAMES = 16; // up to this many are compared without a set

    /** Returns whether each attribute has a name and a value, and no name occurs twice. */
    boolean isWellFormed() {
        int count = 0;
        Set<String> names = null;
        for (int start = from; start <= to; count++) {
            int end = endOf(start);
            int equals = line.indexOf('=', start);
            if (equals <= start || equals >= end - 1) {
                return false;
            }
            if (count == MAX_LINEAR_SEARCH_NAMES) {
                names = namesBefore(start);
            }
            boolean isRepeated = names == null ? firstWithNameAt(start, equals) < start
                : !names.add(line.substring(start, equals));
            if (isRepeated) {
                return false;
            }
            start = end + 1;
        }
        return true;
    }

    private Set<String> namesBefore(int limit) {
        Set<String> names = new HashSet<>();
        for (int start = from; start < limit; start = endOf(start) + 1) {
            names.add(line.substring(start, line.indexOf('=', start)));
        }
        return names;
    }

    /** Returns the offset of the first attribute whose name equals the given range of the line. */
    private int firstWithNameAt(int nameStart, int nameEnd) {
        int start = from;
        int lengthWithEquals = nameEnd + 1 - nameStart;
        while (!line.regionMatches(start, line, nameStart, lengthWithEquals)) {
            start = endOf(start) + 1;
        }
        return start;
    }

    /** Returns the end (exclusive) of the attribute that contains an offset of the line. */
    private int endOf(int position) {
        int comma = line.indexOf(',', position);
        return comma < 0 || comma > to ? to : comma;
    }

    private int valueStart(String name) {
        for (int start = from; start > 0 && start < to; start = endOf(start) + 1) {
            int equals = start + name.length();
            if (equals < to && line.charAt(equals) == '=' && line.startsWith(name, start)) {
                return equals + 1;
            }
        }
        return NOT_FOUND;
    }

    boolean has(String name) {
        return valueStart(name) != NOT_FOUND;
    }

    /** Returns the value of an attribute; empty if there is no such attribute. */
    String value(String name) {
        int valueStart = valueStart(name);
        return valueStart == NOT_FOUND ? "" : line.substring(valueStart, endOf(valueStart));
    }

    /** Returns the value of a numeric attribute; -1 if it is absent or not a whole number. */
    long wholeNumber(String name) {
        int valueStart = valueStart(name);
        return valueStart == NOT_FOUND ? -1 : NumberParser.parseWhole(line, valueStart, endOf(valueStart));
    }

    /** Returns the attribute list with the value of one existing attribute replaced. */
    String withValue(String name, long value) {
        return replaceValueWithin(from, to, name, value);
    }

    /**
     * Returns a range of the line with the value of one existing attribute replaced; the range contains the
     * whole attribute list.
     */
    String replaceValueWithin(int rangeStart, int rangeEnd, String name, long value) {
        int valueStart = valueStart(name);
        return line.substring(rangeStart, valueStart) + value + line.substring(endOf(valueStart), rangeEnd);
    }
}
