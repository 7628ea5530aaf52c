package spurroad.toml;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class KeyLinesTest {
    @Test
    public void findsKeysAfterMultiLineValues() {
        KeyLines keyLines = new KeyLines("""
            list = [ # ] is no end here
              "]", 'x',
            ]
            text = \"""
            no.key = 1
            \"""
            after = 1
            """);
        assertEquals(keyLines.lineOf("list"), 1);
        assertEquals(keyLines.lineOf("text"), 4);
        assertEquals(keyLines.lineOf("no.key"), 0);
        assertEquals(keyLines.lineOf("after"), 7);
    }

    @Test
    public void findsInnermostTableOfMissingKey() {
        KeyLines keyLines = new KeyLines("[[row]]\n[[row]]\ni = 1\n[row.in]\n\"quoted = name\" = 2\n");
        assertEquals(keyLines.lineOf("row[0].missing"), 1);
        assertEquals(keyLines.lineOf("row[1].i"), 3);
        assertEquals(keyLines.lineOf("row[1].in.missing.deeper"), 4);
        assertEquals(keyLines.lineOf("other"), 0);
    }
}
