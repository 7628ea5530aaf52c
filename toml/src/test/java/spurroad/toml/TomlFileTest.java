package spurroad.toml;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class TomlFileTest {
    private static final long MS = 1_000_000L;

    private enum Colour { RED, DARK_BLUE }

    private static TomlFile file(String text) throws FaultyFileException {
        return TomlFile.of("f.toml", text);
    }

    private static List<String> faults(TomlFile file) {
        return expectThrows(FaultyFileException.class, file::check).faults().stream().map(Fault::toString)
            .toList();
    }

    @Test
    public void valuesAreReadAsTheyStand() throws FaultyFileException {
        TomlFile f = file("n = 3\nx = 2.5\nt = \"250ms\"\nc = \"dark-blue\"\non = true\nl = [\"a\", \"b\"]\n"
            + "[in]\nk = \"v\"\n[[row]]\ni = 1\n[[row]]\ni = 2\n");
        Table t = f.root();
        assertEquals(t.whole("n", 0, 0, 9), 3);
        assertEquals(t.number("x", 0, 0, 9), 2.5);
        assertEquals(t.time("t", 0, 0, 1000 * MS), 250 * MS);
        assertEquals(t.choice("c", Colour.class, Colour.RED), Colour.DARK_BLUE);
        assertTrue(t.flag("on", false));
        assertEquals(t.texts("l"), List.of("a", "b"));
        assertEquals(t.table("in").needText("k"), "v");
        assertEquals(t.tables("row").stream().map(r -> r.needWhole("i", 0, 9)).toList(), List.of(1, 2));
        f.check();
    }

    @Test
    public void whatIsMissingHasItsDefault() throws FaultyFileException {
        TomlFile f = file("");
        assertEquals(f.root().whole("n", 7, 0, 9), 7);
        assertEquals(f.root().table("in").time("t", 5, 0, 9), 5);
        assertEquals(f.root().tables("row"), List.of());
        f.check();
    }

    @DataProvider
    Object[][] times() {
        return new Object[][] {{"2s", 2000 * MS}, {"1.5ms", 1_500_000L}, {"300us", 300_000L},
            {"2min", 120_000 * MS}};
    }

    @Test(dataProvider = "times")
    public void timesHaveUnits(String text, long ns) throws FaultyFileException {
        assertEquals(file("t = \"" + text + "\"").root().needTime("t", 0, Long.MAX_VALUE), ns);
    }

    /** All faults at once, each with its file, line and key and what was expected. */
    @Test
    public void allFaultsAreToldAtOnceByLineAndKey() throws FaultyFileException {
        TomlFile f = file(
            "n = 30\n# a comment\nt = 5\nc = \"green\"\n[in]\nlenght = 3\n\n[[row]]\ni = 1\n[[row]]\n"
                + "text = '''\n[not.a.table]\n'''\ni = \"two\"\n");
        Table t = f.root();
        t.whole("n", 0, 0, 9);
        t.needTime("t", 0, 1000 * MS);
        t.choice("c", Colour.class, Colour.RED);
        t.table("in").number("length", 0, 0, 9);
        for (Table row : t.tables("row")) {
            row.needWhole("i", 0, 9);
            row.text("text", "");
        }
        t.needText("name");
        assertEquals(faults(f), List.of("f.toml: name: is missing; expected a text",
            "f.toml:1: n: is 30; expected a whole number from 0 to 9",
            "f.toml:3: t: is 5; expected a time such as \"250ms\", \"2s\" or \"5min\" from 0s to 1s",
            "f.toml:4: c: is \"green\"; expected one of red, dark-blue",
            "f.toml:6: in.lenght: is not known here; did you mean length?",
            "f.toml:14: row[1].i: is \"two\"; expected a whole number from 0 to 9"));
    }

    @Test
    public void valuesCanBeSetInThePlaceOfThoseThatStandThere() throws FaultyFileException {
        TomlFile f = file("[a]\nn = 1\n[[row]]\nt = \"1s\"\n[[row]]\n");
        f.set("a.n", "7");
        f.set("row[0].t", "250ms");
        f.set("row[1].t", "\"2s\"");
        assertEquals(f.root().table("a").needWhole("n", 0, 9), 7);
        assertEquals(f.root().tables("row").stream().map(r -> r.needTime("t", 0, 5000 * MS)).toList(),
            List.of(250 * MS, 2000 * MS));
        f.check();
        FaultyFileException e = expectThrows(FaultyFileException.class, () -> f.set("b.n", "1"));
        assertEquals(e.getMessage(), "f.toml: b.n: can't be set: there is no such table");
        assertThrows(FaultyFileException.class, () -> f.set("row[5].t", "1"));
    }

    @Test
    public void whatIsNoTomlIsToldWithItsLine() {
        FaultyFileException e = expectThrows(FaultyFileException.class, () -> file("a = 1\nb = = 2\n"));
        assertEquals(e.faults().get(0).line(), 2);
        assertTrue(e.getMessage().startsWith("f.toml:2: is not TOML: "), e.getMessage());
    }

    @Test
    public void aFileThatIsNotThereIsNamed() {
        FaultyFileException e = expectThrows(FaultyFileException.class,
            () -> TomlFile.read(Path.of("no/such.toml")));
        assertTrue(e.getMessage().startsWith("no/such.toml: can't be read"), e.getMessage());
    }

    @Test
    public void aTableInThePlaceOfAValueIsAFault() throws FaultyFileException {
        TomlFile f = file("[n]\na = 1\n[x]\n");
        f.root().whole("n", 0, 0, 9);
        f.root().tables("x");
        assertEquals(faults(f).size(), 2);
        assertThrows(FaultyFileException.class, f::check);
    }

    @DataProvider
    Object[][] words() {
        return new Object[][] {{"", "", 0}, {"a", "", 1}, {"lenght", "length", 2}, {"seeds", "seed", 1},
            {"abc", "xyz", 3}};
    }

    @Test(dataProvider = "words")
    public void wordsDifferByTheirLetters(String a, String b, int by) {
        assertEquals(Table.distance(a, b), by);
        assertEquals(Table.distance(b, a), by);
    }
}
