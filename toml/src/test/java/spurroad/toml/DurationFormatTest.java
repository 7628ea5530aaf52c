package spurroad.toml;

import static org.testng.Assert.assertEquals;

import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DurationFormatTest {
    @DataProvider
    Object[][] durations() {
        return new Object[][] {{0L, "0s"}, {120_000_000_000L, "2min"}, {90_000_000_000L, "90s"},
            {250_000_000L, "250ms"}, {1_500L, "1.5us"}};
    }

    @Test(dataProvider = "durations")
    public void formatsInLargestWholeUnit(long nanos, String text) {
        assertEquals(DurationFormat.format(nanos), text);
        assertEquals(DurationFormat.parse(text, 0, Long.MAX_VALUE), OptionalLong.of(nanos));
    }

    @Test
    public void rejectsMalformedAndOutOfBoundsDurations() {
        assertEquals(DurationFormat.parse("5", 0, Long.MAX_VALUE), OptionalLong.empty());
        assertEquals(DurationFormat.parse("-5s", 0, Long.MAX_VALUE), OptionalLong.empty());
        assertEquals(DurationFormat.parse("2s", 0, 1_999_999_999L), OptionalLong.empty());
    }
}
