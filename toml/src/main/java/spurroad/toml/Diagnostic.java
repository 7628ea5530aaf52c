package spurroad.toml;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An error found in a file.
 *
 * @param file name of the file as given by the user
 * @param line line number, starting at 1; 0 if the line is unknown
 * @param key full path of the key, such as {@code nodes[1].slots}; empty if the error concerns the whole file
 * @param message the error and the expected value, without a final full stop; named {@code expected} in JSON
 */
public record Diagnostic(String file, int line, String key, @JsonProperty("expected") String message) {
    /**
     * Returns {@code file:line: key: message}, the format of compilers, from which editors can open the line.
     */
    @Override
    public String toString() {
        String place = line > 0 ? file + ":" + line : file;
        String subject = key.isEmpty() ? "" : key + ": ";
        return place + ": " + subject + message;
    }
}
