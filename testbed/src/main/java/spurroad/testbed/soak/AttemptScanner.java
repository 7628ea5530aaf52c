package spurroad.testbed.soak;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds attempts in the bytes that a proxy writes to a server: the command lines of the meta protocol, or the
 * headers of HTTP. Not thread-safe; one for each connection.
 */
final class AttemptScanner {
    /** Is notified of each attempt. */
    interface Listener {
        void onAttempt(String id, long remainingMs);
    }

    private static final Pattern META_COMMAND = Pattern.compile("m[gs] \\S+ \\S+ O(\\S+) P(\\S+)");
    private static final Pattern REMAINING_TIME = Pattern.compile("(?:^|,)d=(\\d+)");
    private static final int MAX_PARTIAL_LINE_CHARS = 4_096;
    private static final String LINE_END = "\r\n";

    private final Listener listener;
    private final StringBuilder partialLine = new StringBuilder();
    private String httpId;
    private String httpFields;

    AttemptScanner(Listener listener) {
        this.listener = listener;
    }

    /** Scans the next bytes of the connection. */
    void scan(byte[] bytes) {
        partialLine.append(new String(bytes, StandardCharsets.ISO_8859_1));
        int start = 0;
        int end = partialLine.indexOf(LINE_END);
        while (end >= 0) {
            onLine(partialLine.substring(start, end));
            start = end + LINE_END.length();
            end = partialLine.indexOf(LINE_END, start);
        }
        partialLine.delete(0, Math.max(start, partialLine.length() - MAX_PARTIAL_LINE_CHARS));
    }

    private void onLine(String line) {
        Matcher command = META_COMMAND.matcher(line);
        if (command.matches()) {
            listener.onAttempt(command.group(1), remainingMs(command.group(2)));
        } else if (line.isEmpty()) {
            onHttpHeadersEnd();
        } else if (line.startsWith(HttpHeaders.REQUEST_ID)) {
            httpId = line.substring(HttpHeaders.REQUEST_ID.length());
        } else if (line.startsWith(HttpHeaders.FIELDS)) {
            httpFields = line.substring(HttpHeaders.FIELDS.length());
        }
    }

    private void onHttpHeadersEnd() {
        if (httpId != null && httpFields != null) {
            listener.onAttempt(httpId, remainingMs(httpFields));
        }
        httpId = null;
        httpFields = null;
    }

    private static long remainingMs(String fields) {
        Matcher time = REMAINING_TIME.matcher(fields);
        return time.find() ? Long.parseLong(time.group(1)) : 0;
    }
}
