package spurroad.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON into maps, lists, strings, doubles, booleans and null. */
public final class Json {
    private static final int MAX_DEPTH = 32; // the files and messages in use have five levels
    private static final int UNICODE_ESCAPE_DIGITS = 4;
    private static final char END_OF_TEXT = 0; // returned after the last character

    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    /**
     * Parses a text that is one JSON value.
     *
     * @throws ProtocolException if the text is not JSON; the message has the position of the first fault
     */
    public static Object read(String text) throws ProtocolException {
        Json parser = new Json(text);
        Object value = parser.parseValue(0);
        parser.skipWhitespace();
        if (parser.position < text.length()) {
            throw parser.expected("the end of the text");
        }
        return value;
    }

    private ProtocolException expected(String what) {
        return new ProtocolException("not JSON: expected " + what + " at character " + (position + 1));
    }

    private char current() {
        return position < text.length() ? text.charAt(position) : END_OF_TEXT;
    }

    private void skipWhitespace() {
        while (position < text.length() && " \t\r\n".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
    }

    /** Skips whitespace, and then the given character if it is next; returns whether it is. */
    private boolean skipIfNext(char wanted) {
        skipWhitespace();
        boolean isNext = position < text.length() && text.charAt(position) == wanted;
        position += isNext ? 1 : 0;
        return isNext;
    }

    private void skip(char wanted) throws ProtocolException {
        if (!skipIfNext(wanted)) {
            throw expected("'" + wanted + "'");
        }
    }

    private Object parseValue(int depth) throws ProtocolException {
        if (depth > MAX_DEPTH) {
            throw expected("fewer levels of nesting");
        }
        skipWhitespace();
        return switch (current()) {
            case '{' -> parseObject(depth);
            case '[' -> parseArray(depth);
            case '"' -> parseString();
            case 't' -> parseLiteral("true", true);
            case 'f' -> parseLiteral("false", false);
            case 'n' -> parseLiteral("null", null);
            default -> parseNumber();
        };
    }

    private Object parseLiteral(String literal, Object value) throws ProtocolException {
        if (!text.startsWith(literal, position)) {
            throw expected("a value");
        }
        position += literal.length();
        return value;
    }

    private Map<String, Object> parseObject(int depth) throws ProtocolException {
        Map<String, Object> object = new LinkedHashMap<>();
        skip('{');
        if (skipIfNext('}')) {
            return object;
        }
        do {
            skipWhitespace();
            String name = parseString();
            skip(':');
            object.put(name, parseValue(depth + 1));
        } while (skipIfNext(','));
        skip('}');
        return object;
    }

    private List<Object> parseArray(int depth) throws ProtocolException {
        List<Object> array = new ArrayList<>();
        skip('[');
        if (skipIfNext(']')) {
            return array;
        }
        do {
            array.add(parseValue(depth + 1));
        } while (skipIfNext(','));
        skip(']');
        return array;
    }

    private String parseString() throws ProtocolException {
        skip('"');
        StringBuilder string = new StringBuilder();
        while (position < text.length()) {
            char c = text.charAt(position++);
            if (c == '"') {
                return string.toString();
            }
            if (c < ' ') {
                break;
            }
            string.append(c == '\\' ? parseEscape() : c);
        }
        throw expected("the end of a string");
    }

    private char parseEscape() throws ProtocolException {
        char c = current();
        position += position < text.length() ? 1 : 0;
        int index = "\"\\/bfnrt".indexOf(c);
        if (index >= 0) {
            return "\"\\/\b\f\n\r\t".charAt(index);
        }
        int end = position + UNICODE_ESCAPE_DIGITS;
        if (c == 'u' && end <= text.length()) {
            String digits = text.substring(position, end);
            if (digits.chars().allMatch(digit -> Character.digit(digit, 16) >= 0)) {
                position = end;
                return (char) Integer.parseInt(digits, 16);
            }
        }
        throw expected("an escape sequence");
    }

    private Double parseNumber() throws ProtocolException {
        int start = position;
        while (position < text.length() && "+-.eE0123456789".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
        double value = NumberParser.parseDecimal(text.substring(start, position));
        if (Double.isNaN(value) || Double.isInfinite(value)) {
            position = start;
            throw expected("a value");
        }
        return value;
    }
}
