package spurroad.protocol;

/**
 * A request line. Its tokens are the command, the key, {@code v} or the length of the value, and, in either
 * order, the request id with the prefix {@code O} and the attributes with the prefix {@code P}.
 *
 * <p>The line is scanned once for the positions of its tokens, and text is copied only on demand: under
 * overload most requests are rejected, and parsing is most of the cost of a rejected request.
 */
final class CommandLine {
    /** The line of a command that is not a request. */
    static final CommandLine NONE = new CommandLine("");

    private static final int REQUEST_TOKENS = 5;
    private static final int KEY_INDEX = 1;
    private static final int THIRD_INDEX = 2;
    private static final int MAX_KEY_BYTES = 250; // the limit of the memcache protocol
    private static final int MAX_ID_BYTES = 32; // the limit of the memcache protocol
    private static final char ID_FLAG = 'O';
    private static final char ATTRIBUTES_FLAG = 'P';

    private final String line;
    private int tokenCount;
    private int keyFrom;
    private int keyTo;
    private int thirdFrom;
    private int thirdTo;
    private int idIndex;
    private int idFrom;
    private int idTo;
    private Attributes attributes = Attributes.NONE;
    private boolean hasOnlyVisibleTokens = true; // false also for two blanks in a row

    private CommandLine(String line) {
        this.line = line;
    }

    /** Scans a line without trailing blanks. */
    static CommandLine scan(String line) {
        CommandLine scanned = new CommandLine(line);
        int from = 0;
        for (int i = 0; i <= line.length(); i++) {
            char c = i < line.length() ? line.charAt(i) : ' ';
            if (c == ' ') {
                scanned.addToken(from, i);
                from = i + 1;
            } else {
                scanned.hasOnlyVisibleTokens &= isVisible(c);
            }
        }
        return scanned;
    }

    private void addToken(int from, int to) {
        int index = tokenCount++;
        if (from == to) {
            hasOnlyVisibleTokens = false;
        } else if (index == KEY_INDEX) {
            keyFrom = from;
            keyTo = to;
        } else if (index > KEY_INDEX && line.charAt(from) == ID_FLAG && idIndex == 0) {
            idIndex = index;
            idFrom = from + 1;
            idTo = to;
        } else if (index > KEY_INDEX && line.charAt(from) == ATTRIBUTES_FLAG && !hasAttributes()) {
            attributes = new Attributes(line, from + 1, to);
        }
        if (index == THIRD_INDEX) {
            thirdFrom = from;
            thirdTo = to;
        }
    }

    private static boolean isVisible(char c) {
        return c > ' ' && c < 0x7f;
    }

    /** Returns whether a text can be a token: it is not empty and has only visible ASCII characters. */
    static boolean isToken(String text) {
        return !text.isEmpty() && text.chars().allMatch(c -> isVisible((char) c));
    }

    /** Returns whether there is a key of an allowed length. */
    boolean hasValidKey() {
        return keyFrom < keyTo && keyTo - keyFrom <= MAX_KEY_BYTES;
    }

    /** Returns whether there is a request id of an allowed length. */
    boolean hasValidId() {
        return idFrom < idTo && idTo - idFrom <= MAX_ID_BYTES;
    }

    /**
     * Returns whether a cache node can parse the line. A cache node closes the connection if it can't parse a
     * line.
     */
    boolean isWellFormed(boolean isWrite) {
        return tokenCount == REQUEST_TOKENS && hasOnlyVisibleTokens && (isWrite || hasReadFlag())
            && idIndex > THIRD_INDEX
            && hasAttributes() && attributes.isWellFormed();
    }

    private boolean hasAttributes() {
        return attributes != Attributes.NONE;
    }

    private boolean hasReadFlag() {
        return thirdTo - thirdFrom == 1 && line.charAt(thirdFrom) == 'v';
    }

    int length() {
        return line.length();
    }

    String key() {
        return line.substring(keyFrom, keyTo);
    }

    String id() {
        return line.substring(idFrom, idTo);
    }

    /** Returns the attributes; {@link Attributes#NONE} if the line has no attribute list. */
    Attributes attributes() {
        return attributes;
    }

    /** Returns the whole line with the value of one existing attribute replaced. */
    String withAttribute(String name, long value) {
        return attributes.replaceValueWithin(0, line.length(), name, value);
    }
}
