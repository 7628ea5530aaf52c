package spurroad.toml;

import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations in files: a number and its unit, such as {@code 250ms}. */
public final class DurationFormat {
    /** Description of the expected format, for diagnostics. */
    static final String DESCRIPTION = "a time such as \"250ms\", \"2s\" or \"5min\"";

    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MINUTE = 60 * NANOS_PER_SECOND;
    private static final double NANOS_PER_MICROSECOND = 1_000.0;
    private static final Pattern DURATION_PATTERN = Pattern.compile("(\\d+(?:\\.\\d+)?)(us|ms|s|min|h)");
    private static final Map<String, Double> NANOS_PER_UNIT = Map.of("us", 1e3, "ms", 1e6, "s", 1e9, "min",
        60e9,
        "h", 3600e9);

    private DurationFormat() {}

    /** Returns a duration in nanoseconds; empty if the text is malformed or the duration is out of bounds. */
    static OptionalLong parse(String text, long minNanos, long maxNanos) {
        Matcher matcher = DURATION_PATTERN.matcher(text);
        if (!matcher.matches()) {
            return OptionalLong.empty();
        }
        double nanos = Double.parseDouble(matcher.group(1)) * NANOS_PER_UNIT.get(matcher.group(2));
        boolean inBounds = nanos >= minNanos && nanos <= maxNanos;
        return inBounds ? OptionalLong.of(Math.round(nanos)) : OptionalLong.empty();
    }

    /**
     * Returns a duration as a whole number of the largest possible unit from milliseconds to minutes,
     * otherwise as a possibly fractional number of microseconds.
     */
    public static String format(long nanos) {
        if (nanos != 0 && nanos % NANOS_PER_MINUTE == 0) {
            return nanos / NANOS_PER_MINUTE + "min";
        }
        if (nanos % NANOS_PER_SECOND == 0) {
            return nanos / NANOS_PER_SECOND + "s";
        }
        if (nanos % NANOS_PER_MILLISECOND == 0) {
            return nanos / NANOS_PER_MILLISECOND + "ms";
        }
        return nanos / NANOS_PER_MICROSECOND + "us";
    }
}
