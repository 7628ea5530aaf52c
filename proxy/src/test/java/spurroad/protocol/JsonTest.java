package spurroad.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Parsing of JSON and rejection of malformed texts. */
public class JsonTest {
    @DataProvider
    Object[][] values() {
        return new Object[][] {{"{}", Map.of()},
            {" [1, -2.5e1 ,\"a\\u0041\\n\\\"\"] ", List.of(1.0, -25.0, "aA\n\"")},
            {"{\"a\":{\"b\":[true,false]}}", Map.of("a", Map.of("b", List.of(true, false)))}, {"null", null}};
    }

    @Test(dataProvider = "values")
    public void parsesValue(String text, Object value) throws IOException {
        assertEquals(Json.read(text), value);
    }

    @DataProvider
    Object[][] malformedTexts() {
        return new Object[][] {{""}, {"{"}, {"{\"a\"}"}, {"[1,]"}, {"[1 2]"}, {"\"a"}, {"\"\\x\""},
            {"\"\\u00g0\""},
            {"tru"}, {"1 2"}, {"--1"}, {"1e999"}, {"{\"a\":1"}, {"[".repeat(100)}, {"\"\n\""}};
    }

    @Test(dataProvider = "malformedTexts")
    public void rejectsMalformedText(String text) {
        assertThrows(ProtocolException.class, () -> Json.read(text));
    }
}
