package spurroad.protocol;

import java.io.IOException;

/** Splits a stream into the texts of its JSON objects, each of which starts on a new line. */
final class JsonObjectStream {
    private JsonObjectStream() {}

    /**
     * Returns the text of the next object, or a line that opens no object, such as an empty line; null at the
     * end of the stream.
     *
     * @throws ProtocolException if the text is longer than {@code maxBytes}, or the stream ends inside an
     *     object
     */
    static String next(ByteSource stream, int maxBytes) throws IOException {
        String line = stream.readLine(maxBytes);
        int depth = line == null ? 0 : depthChange(line);
        if (depth <= 0) {
            return line;
        }
        StringBuilder object = new StringBuilder(line);
        while (depth > 0) {
            line = stream.readRequiredLine(maxBytes);
            depth += depthChange(line);
            if (object.append('\n').append(line).length() > maxBytes) {
                throw new ProtocolException("JSON object longer than the maximum");
            }
        }
        return object.toString();
    }

    /**
     * Returns the number of objects that a line opens, minus those that it closes; strings never span lines.
     */
    private static int depthChange(String line) {
        int change = 0;
        boolean isInString = false;
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            if (isInString && c == '\\') {
                i++; // the escaped character does not end the string
            } else if (c == '"') {
                isInString = !isInString;
            } else if (!isInString) {
                change += c == '{' ? 1 : c == '}' ? -1 : 0;
            }
        }
        return change;
    }
}
