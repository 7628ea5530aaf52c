package spurroad.toml;

/**
 * Scans a TOML value with its brackets, strings and comments, to tell whether it continues on the next line.
 */
final class ValueScanner {
    private static final int LONG_QUOTE_LENGTH = 3; // length of the quote of a multi-line string

    private String closingQuote; // null outside of a string
    private int openBrackets;

    /** Returns whether the value continues on the next line. */
    boolean isUnfinished() {
        return closingQuote != null || openBrackets > 0;
    }

    /** Scans the part of a line that belongs to the value. */
    void scan(String part) {
        int i = 0;
        while (i < part.length()) {
            boolean isComment = closingQuote == null && part.charAt(i) == '#';
            if (isComment) {
                break;
            }
            i += closingQuote != null ? scanText(part, i) : scanOutsideText(part, i);
        }
        boolean isShortText = closingQuote != null && closingQuote.length() < LONG_QUOTE_LENGTH;
        if (isShortText) {
            closingQuote = null; // a single-line string can't continue on the next line
        }
    }

    /** Returns the number of characters scanned, like {@link #scanOutsideText}. */
    private int scanText(String part, int i) {
        boolean isEscape = part.charAt(i) == '\\' && closingQuote.charAt(0) == '"';
        if (isEscape) {
            return 2;
        }
        if (!part.startsWith(closingQuote, i)) {
            return 1;
        }
        int length = closingQuote.length();
        closingQuote = null;
        return length;
    }

    private int scanOutsideText(String part, int i) {
        char c = part.charAt(i);
        if (c == '"' || c == '\'') {
            String longQuote = String.valueOf(c).repeat(LONG_QUOTE_LENGTH);
            closingQuote = part.startsWith(longQuote, i) ? longQuote : String.valueOf(c);
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
