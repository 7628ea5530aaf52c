package spurroad.protocol;

/** Parses numbers and signals malformed ones by a return value, not by an exception. */
final class NumberParser {
    private static final int MAX_DIGITS = 15; // exact in a double; no message needs more

    private NumberParser() {}

    /** Parses a number of 1 to 15 decimal digits; returns -1 for any other text and for null. */
    static long parseWhole(String text) {
        return text == null ? -1 : parseWhole(text, 0, text.length());
    }

    /** Parses a range of a text as {@link #parseWhole(String)} does. */
    static long parseWhole(String text, int from, int to) {
        if (from >= to || to - from > MAX_DIGITS) {
            return -1;
        }
        long value = 0;
        for (int i = from; i < to; i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            value = 10 * value + digit;
        }
        return value;
    }

    /** Parses a decimal number; returns NaN for any other text. */
    static double parseDecimal(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
