package spurroad.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.protocol.Json;
import spurroad.protocol.ProtocolException;

public class LineFormatterTest {
    private static LogRecord record(String message) {
        return new LogRecord(Level.WARNING, message);
    }

    @DataProvider
    Object[][] messages() {
        return new Object[][] {{"serving: n1 at 127.0.0.1:11211", "serving", "n1 at 127.0.0.1:11211"},
            {"no colon", "no colon", ""}, {"a \"quoted\" one: back\\slash, tab\t, bell\u0007: end\n",
                "a \"quoted\" one", "back\\slash, tab\t, bell\u0007: end\n"}};
    }

    @Test(dataProvider = "messages")
    public void formatsJsonLineWithFieldsOfPlainLine(String message, String event, String about)
        throws ProtocolException {
        String line = new LineFormatter(true).format(record(message));
        assertEquals(line.indexOf('\n'), line.length() - 1, "expected a single line");
        Map<?, ?> read = (Map<?, ?>) Json.read(line.strip());
        assertEquals(read.get("event"), event);
        assertEquals(read.get("about"), about);
        assertEquals(read.get("level"), "WARNING");
        assertTrue(read.get("time").toString().matches("\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}"));
    }

    @Test
    public void formatsPlainLineWithTimeLevelAndMessage() {
        String line = new LineFormatter(false).format(record("serving: n1"));
        assertTrue(line.matches("\\d{4}-\\d\\d-\\d\\dT[\\d:.]{12} WARNING serving: n1\n"), line);
    }

    @Test
    public void includesExceptionInLine() throws ProtocolException {
        LogRecord r = record("an actor failed: x");
        r.setThrown(new IllegalStateException("why"));
        assertTrue(new LineFormatter(false).format(r).endsWith("java.lang.IllegalStateException: why\n"));
        Map<?, ?> read = (Map<?, ?>) Json.read(new LineFormatter(true).format(r).strip());
        assertEquals(read.get("thrown"), "java.lang.IllegalStateException: why");
    }
}
