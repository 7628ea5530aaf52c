package spurroad.toml;

/**
 * Scans a TOML value with its brackets, strings and comments, to tell whether it continues on the next line.
 */
final class ValueScanner {
    private static final int MULTI_LINE_QUOTE_LENGTH = 3; // length of the quote of a multi-line string

    private String closingQuote; // null outside of a string
    private int openBrackets;

    /** Returns whether the value continues on the next line. */
    boolean isUnfinished() {
        return closingQuote != null || openBrackets > 0;
    }

    /** Scans the part of a line that belongs to the value. */
    void scan(String linePart) {
        int index = 0;
        while (index < linePart.length()) {
            boolean isComment = closingQuote == null && linePart.charAt(index) == '#';
            if (isComment) {
                break;
            }
            index += closingQuote != null ? scanInsideString(linePart, index)
                : scanOutsideString(linePart, index);
        }
        boolean isSingleLineString = closingQuote != null && closingQuote.length() < MULTI_LINE_QUOTE_LENGTH;
        if (isSingleLineString) {
            closingQuote = null; // a single-line string can't continue on the next line
        }
    }

    /** Returns the number of characters scanned, like {@link #scanOutsideString}. */
    private int scanInsideString(String linePart, int index) {
        boolean isEscape = linePart.charAt(index) == '\\' && closingQuote.charAt(0) == '"';
        if (isEscape) {
            return 2;
        }
        if (!linePart.startsWith(closingQuote, index)) {
            return 1;
        }
        int length = closingQuote.length();
        closingQuote = null;
        return length;
    }

    private int scanOutsideString(String linePart, int index) {
        char c = linePart.charAt(index);
        if (c == '"' || c == '\'') {
            String multiLineQuote = String.valueOf(c).repeat(MULTI_LINE_QUOTE_LENGTH);
            closingQuote = linePart.startsWith(multiLineQuote, index) ? multiLineQuote : String.valueOf(c);
            return closingQuote.length();
        }
        if (c == '[' || c == '{') {
            openBrackets++;
        } else if (c == ']' || c == '}') {
            openBrackets--;
        }
        return 1;
    }
}
