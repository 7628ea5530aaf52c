package spurroad.program;

import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Log lines of the lean proxy: one plain line each, or one JSON object a line with the same fields:
 * {@code time}, {@code level}, {@code event} (a fixed text for each kind), {@code about} and, where something
 * was thrown, {@code thrown}. The standard library's own formatter puts two lines for each and parses its
 * pattern every time.
 */
final class LineFormatter extends Formatter {
    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS");
    private static final String BETWEEN = ": "; // an event from what it is about, as the event log writes it

    private final boolean json;
    private final ZoneId zone = ZoneId.systemDefault();

    LineFormatter(boolean json) {
        this.json = json;
    }

    @Override
    public String format(LogRecord record) {
        String time = TIME.format(Instant.ofEpochMilli(record.getMillis()).atZone(zone));
        String message = formatMessage(record);
        String thrown = record.getThrown() == null ? "" : record.getThrown().toString();
        if (!json) {
            return time + " " + record.getLevel() + " " + message + (thrown.isEmpty() ? "" : " " + thrown)
                + "\n";
        }
        int cut = message.indexOf(BETWEEN);
        StringBuilder line = new StringBuilder(160).append("{\"time\":\"").append(time)
            .append("\",\"level\":\"")
            .append(record.getLevel()).append('"');
        field(line, "event", cut < 0 ? message : message.substring(0, cut));
        field(line, "about", cut < 0 ? "" : message.substring(cut + BETWEEN.length()));
        if (!thrown.isEmpty()) {
            field(line, "thrown", thrown);
        }
        return line.append("}\n").toString();
    }

    private static void field(StringBuilder line, String name, String value) {
        line.append(",\"").append(name).append("\":\"");
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
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
        line.append('"');
    }
}
