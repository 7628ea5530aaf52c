package spurroad.program;

import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats each log record as one line: plain text, or a JSON object with the same fields {@code time},
 * {@code level}, {@code event} (a fixed phrase for each kind), {@code about} and, if an exception was logged,
 * {@code thrown}. The formatter of the standard library writes two lines a record and parses its pattern for
 * each record.
 */
final class LineFormatter extends Formatter {
    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS");
    private static final String EVENT_END = ": "; // separates the event from its fields, see EventLog
    private static final int TYPICAL_LINE_LENGTH = 160;

    private final boolean json;
    private final ZoneId zone = ZoneId.systemDefault();

    LineFormatter(boolean json) {
        this.json = json;
    }

    @Override
    public String format(LogRecord record) {
        String time = TIME.format(Instant.ofEpochMilli(record.getMillis()).atZone(zone));
        String level = record.getLevel().toString();
        String message = formatMessage(record);
        String thrown = record.getThrown() == null ? "" : record.getThrown().toString();
        return json ? jsonLine(time, level, message, thrown) : plainLine(time, level, message, thrown);
    }

    private static String plainLine(String time, String level, String message, String thrown) {
        return time + " " + level + " " + message + (thrown.isEmpty() ? "" : " " + thrown) + "\n";
    }

    private static String jsonLine(String time, String level, String message, String thrown) {
        int eventEnd = message.indexOf(EVENT_END);
        StringBuilder line = new StringBuilder(TYPICAL_LINE_LENGTH);
        line.append("{\"time\":\"").append(time).append("\",\"level\":\"").append(level).append('"');
        appendField(line, "event", eventEnd < 0 ? message : message.substring(0, eventEnd));
        appendField(line, "about", eventEnd < 0 ? "" : message.substring(eventEnd + EVENT_END.length()));
        if (!thrown.isEmpty()) {
            appendField(line, "thrown", thrown);
        }
        return line.append("}\n").toString();
    }

    private static void appendField(StringBuilder line, String name, String value) {
        line.append(",\"").append(name).append("\":\"");
        for (int i = 0; i < value.length(); i++) {
            appendEscaped(line, value.charAt(i));
        }
        line.append('"');
    }

    private static void appendEscaped(StringBuilder line, char c) {
        switch (c) {
            case '"' -> line.append("\\\"");
            case '\\' -> line.append("\\\\");
            case '\n' -> line.append("\\n");
            case '\r' -> line.append("\\r");
            case '\t' -> line.append("\\t");
            default -> {
                if (c < ' ') {
                    line.append(String.format("\\u%04x", (int) c));
                } else {
                    line.append(c);
                }
            }
        }
    }
}
