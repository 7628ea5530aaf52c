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
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private enum Colour { RED, DARK_BLUE }

    private static TomlFile parse(String text) throws InvalidFileException {
        return TomlFile.parse("f.toml", text);
    }

    private static List<String> diagnostics(TomlFile file) {
        return expectThrows(InvalidFileException.class, file::validate).diagnostics().stream()
            .map(Diagnostic::toString)
            .toList();
    }

    @Test
    public void readsValuesOfEachType() throws InvalidFileException {
        TomlFile file = parse(
            "n = 3\nx = 2.5\nt = \"250ms\"\nc = \"dark-blue\"\non = true\nl = [\"a\", \"b\"]\n"
                + "[in]\nk = \"v\"\n[[row]]\ni = 1\n[[row]]\ni = 2\n");
        TomlTable root = file.root();
        assertEquals(root.getInt("n", 0, 0, 9), 3);
        assertEquals(root.getDouble("x", 0, 0, 9), 2.5);
        assertEquals(root.getDurationNanos("t", 0, 0, 1000 * NANOS_PER_MILLI), 250 * NANOS_PER_MILLI);
        assertEquals(root.getEnum("c", Colour.class, Colour.RED), Colour.DARK_BLUE);
        assertTrue(root.getBoolean("on", false));
        assertEquals(root.getStrings("l"), List.of("a", "b"));
        assertEquals(root.getTable("in").requireString("k"), "v");
        assertEquals(root.getTables("row").stream().map(row -> row.requireInt("i", 0, 9)).toList(),
            List.of(1, 2));
        file.validate();
    }

    @Test
    public void returnsDefaultsForMissingKeys() throws InvalidFileException {
        TomlFile file = parse("");
        assertEquals(file.root().getInt("n", 7, 0, 9), 7);
        assertEquals(file.root().getTable("in").getDurationNanos("t", 5, 0, 9), 5);
        assertEquals(file.root().getTables("row"), List.of());
        file.validate();
    }

    @DataProvider
    Object[][] durations() {
        return new Object[][] {{"2s", 2000 * NANOS_PER_MILLI}, {"1.5ms", 1_500_000L}, {"300us", 300_000L},
            {"2min", 120_000 * NANOS_PER_MILLI}};
    }

    @Test(dataProvider = "durations")
    public void readsDurationsInEachUnit(String text, long nanos) throws InvalidFileException {
        assertEquals(parse("t = \"" + text + "\"").root().requireDurationNanos("t", 0, Long.MAX_VALUE),
            nanos);
    }

    @Test
    public void reportsAllErrorsWithLineAndKey() throws InvalidFileException {
        TomlFile file = parse(
            "n = 30\n# a comment\nt = 5\nc = \"green\"\n[in]\nlenght = 3\n\n[[row]]\ni = 1\n[[row]]\n"
                + "text = '''\n[not.a.table]\n'''\ni = \"two\"\n");
        TomlTable root = file.root();
        root.getInt("n", 0, 0, 9);
        root.requireDurationNanos("t", 0, 1000 * NANOS_PER_MILLI);
        root.getEnum("c", Colour.class, Colour.RED);
        root.getTable("in").getDouble("length", 0, 0, 9);
        for (TomlTable row : root.getTables("row")) {
            row.requireInt("i", 0, 9);
            row.getString("text", "");
        }
        root.requireString("name");
        assertEquals(diagnostics(file), List.of("f.toml: name: is missing; expected a text",
            "f.toml:1: n: is 30; expected a whole number from 0 to 9",
            "f.toml:3: t: is 5; expected a time such as \"250ms\", \"2s\" or \"5min\" from 0s to 1s",
            "f.toml:4: c: is \"green\"; expected one of red, dark-blue",
            "f.toml:6: in.lenght: is not known here; did you mean length?",
            "f.toml:14: row[1].i: is \"two\"; expected a whole number from 0 to 9"));
    }

    @Test
    public void overridesValuesByPath() throws InvalidFileException {
        TomlFile file = parse("[a]\nn = 1\n[[row]]\nt = \"1s\"\n[[row]]\n");
        file.override("a.n", "7");
        file.override("row[0].t", "250ms");
        file.override("row[1].t", "\"2s\"");
        assertEquals(file.root().getTable("a").requireInt("n", 0, 9), 7);
        assertEquals(
            file.root().getTables("row").stream()
                .map(row -> row.requireDurationNanos("t", 0, 5000 * NANOS_PER_MILLI)).toList(),
            List.of(250 * NANOS_PER_MILLI, 2000 * NANOS_PER_MILLI));
        file.validate();
        InvalidFileException exception = expectThrows(InvalidFileException.class,
            () -> file.override("b.n", "1"));
        assertEquals(exception.getMessage(), "f.toml: b.n: can't be set: there is no such table");
        assertThrows(InvalidFileException.class, () -> file.override("row[5].t", "1"));
        InvalidFileException indexException = expectThrows(InvalidFileException.class,
            () -> file.override("row[x].t", "1"));
        assertEquals(indexException.getMessage(), "f.toml: row[x].t: can't be set: there is no such table");
        InvalidFileException valueException = expectThrows(InvalidFileException.class,
            () -> file.override("a.n", "\""));
        assertEquals(valueException.getMessage(), "f.toml: a.n: is set to \", which is no value");
    }

    @Test
    public void reportsLineOfSyntaxError() {
        InvalidFileException exception = expectThrows(InvalidFileException.class,
            () -> parse("a = 1\nb = = 2\n"));
        assertEquals(exception.diagnostics().get(0).line(), 2);
        assertTrue(exception.getMessage().startsWith("f.toml:2: is not TOML: "), exception.getMessage());
    }

    @Test
    public void reportsNameOfMissingFile() {
        InvalidFileException exception = expectThrows(InvalidFileException.class,
            () -> TomlFile.read(Path.of("no/such.toml")));
        assertTrue(exception.getMessage().startsWith("no/such.toml: can't be read"), exception.getMessage());
    }

    @Test
    public void reportsTableInPlaceOfValue() throws InvalidFileException {
        TomlFile file = parse("[n]\na = 1\n[x]\n");
        file.root().getInt("n", 0, 0, 9);
        file.root().getTables("x");
        assertEquals(diagnostics(file).size(), 2);
        assertThrows(InvalidFileException.class, file::validate);
    }
}
