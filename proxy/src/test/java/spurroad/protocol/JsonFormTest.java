package spurroad.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Parsing of JSON, and the error messages for malformed texts. */
public class JsonFormTest {
    private static final int MAX_DEPTH = 32;

    @DataProvider
    Object[][] values() {
        return new Object[][] {{"null", null}, {"true", true}, {" false\t\r\n", false}, {"0", 0.0},
            {"-2.5e1", -25.0}, {"1E+2", 100.0}, {"1700000000123", 1_700_000_000_123.0}, {"\"\"", ""},
            {"\"a\\\"\\\\\\/\\b\\f\\n\\r\\t\\u00e4\u00e4\"", "a\"\\/\b\f\n\r\t\u00e4\u00e4"},
            {"[]", List.of()}, {"[ ]", List.of()}, {"{}", Map.of()}, {"{ }", Map.of()},
            {"[1 , [\"a\"],null]", Arrays.asList(1.0, List.of("a"), null)},
            {"{\"a\" : {\"b\":[true,{}]} , \"c\":1}",
                Map.of("a", Map.of("b", List.of(true, Map.of())), "c", 1.0)},
            {"{\"a\":1,\"a\":2}", Map.of("a", 2.0)}};
    }

    @Test(dataProvider = "values")
    public void parsesValue(String text, Object value) throws ProtocolException {
        assertEquals(Json.read(text), value);
    }

    @Test
    public void keepsOrderOfNames() throws ProtocolException {
        Map<?, ?> object = (Map<?, ?>) Json.read("{\"c\":1,\"a\":2,\"b\":3}");
        assertEquals(new ArrayList<>(object.keySet()), List.of("c", "a", "b"));
    }

    @DataProvider
    Object[][] malformedTexts() {
        return new Object[][] {{"", "a value at character 1"}, {"  ", "a value at character 3"},
            {"nul", "a value at character 1"}, {"x", "a value at character 1"},
            {"[1,]", "a value at character 4"}, {"1e999", "a value at character 1"},
            {"--1", "a value at character 1"}, {"NaN", "a value at character 1"},
            {"1 2", "the end of the text at character 3"}, {"{}}", "the end of the text at character 3"},
            {"{", "'\"' at character 2"}, {"{a:1}", "'\"' at character 2"},
            {"{\"a\"}", "':' at character 5"}, {"{\"a\":1", "'}' at character 7"},
            {"{\"a\":1 \"b\":2}", "'}' at character 8"}, {"[1 2]", "']' at character 4"},
            {"\"a", "the end of a string at character 3"},
            {"\"a\nb\"", "the end of a string at character 4"},
            {"\"\\x\"", "an escape sequence at character 4"},
            {"\"\\u00g0\"", "an escape sequence at character 4"},
            {"\"\\u00", "an escape sequence at character 4"}};
    }

    @Test(dataProvider = "malformedTexts")
    public void reportsExpectationAndPositionOfFault(String text, String expected) {
        assertEquals(expectThrows(ProtocolException.class, () -> Json.read(text)).getMessage(),
            "not JSON: expected " + expected);
    }

    @Test
    public void limitsNestingTo32Levels() throws ProtocolException {
        Json.read("[".repeat(MAX_DEPTH + 1) + "]".repeat(MAX_DEPTH + 1));
        assertEquals(expectThrows(ProtocolException.class, () -> Json.read("[".repeat(MAX_DEPTH + 2)))
            .getMessage(), "not JSON: expected fewer levels of nesting at character 34");
    }
}
