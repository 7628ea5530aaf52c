package spurroad.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Records calls of state machines and all their results, one line each, and computes a digest of the complete
 * text. The text contains no names of types, fields or constants (enum constants are written as ordinals), so
 * that renaming them does not change it. If the system property {@code trace.folder} is set, the text of a
 * named trace is also written to a file in that folder, so that the first differing line can be found.
 */
public final class Trace {
    private static final String FOLDER = System.getProperty("trace.folder");
    private static final String ABSENT = " ~";

    private final MessageDigest digest;
    private final StringBuilder line = new StringBuilder();
    private final Writer file;

    private Trace(Writer file) {
        this.file = file;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Begins a trace; the name determines the name of the file. */
    public static Trace named(String name) {
        if (FOLDER == null) {
            return unnamed();
        }
        try {
            Files.createDirectories(Path.of(FOLDER));
            return new Trace(Files.newBufferedWriter(Path.of(FOLDER, name + ".txt")));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Begins a trace that is never written to a file. */
    public static Trace unnamed() {
        return new Trace(null);
    }

    /** Begins a part of a line with a letter that identifies the kind of the next fields. */
    public Trace part(char letter) {
        line.append(' ').append(letter);
        return this;
    }

    /** Writes an integer. */
    public Trace number(long value) {
        line.append(' ').append(value);
        return this;
    }

    /** Writes a boolean. */
    public Trace flag(boolean value) {
        line.append(value ? " T" : " F");
        return this;
    }

    /** Writes the exact bits of a floating-point number in hexadecimal digits. */
    public Trace real(double value) {
        line.append(" x").append(Long.toHexString(Double.doubleToLongBits(value)));
        return this;
    }

    /** Writes a string, which may be null. */
    public Trace text(String value) {
        line.append(value == null ? ABSENT : " \"" + value + '"');
        return this;
    }

    /** Writes bytes in hexadecimal digits; they may be null. */
    public Trace bytes(byte[] value) {
        line.append(value == null ? ABSENT : " #" + HexFormat.of().formatHex(value));
        return this;
    }

    /** Ends the line. */
    public void end() {
        line.append('\n');
        digest.update(line.toString().getBytes(StandardCharsets.UTF_8));
        if (file != null) {
            writeLine();
        }
        line.setLength(0);
    }

    private void writeLine() {
        try {
            file.append(line);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Ends the trace; returns the digest of its text in hexadecimal digits. */
    public String digest() {
        if (file != null) {
            try {
                file.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return HexFormat.of().formatHex(digest.digest());
    }
}
