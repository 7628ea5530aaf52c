package spurroad.toml;

/**
 * One thing that is wrong in a file.
 *
 * @param file as the user named it
 * @param line from 1 on; 0 where no line can be named
 * @param key the whole path of the key, such as {@code nodes[1].slots}; empty where the file can't be read at
 *     all
 * @param expected what is wrong and what was expected, as one sentence without its end
 */
public record Fault(String file, int line, String key, String expected) {
    /** As compilers word it, so that editors find the place. */
    @Override
    public String toString() {
        return file + (line > 0 ? ":" + line : "") + ": " + (key.isEmpty() ? "" : key + ": ") + expected;
    }
}
