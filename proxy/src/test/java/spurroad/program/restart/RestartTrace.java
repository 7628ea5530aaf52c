package spurroad.program.restart;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The trace of a hot restart: each step, the resulting actions of the processes, and every file of their
 * directory with its bytes. Times are replaced by their order among those in the directory, so that two runs
 * of the same steps produce the same text. The text uses no identifiers of the program, so that renaming them
 * does not change its digest.
 */
final class RestartTrace {
    private static final Pattern TIME = Pattern.compile("(?m)^(begun|serving) ([1-9][0-9]*)$");

    private final StringBuilder text = new StringBuilder();

    void step(String what) {
        text.append("= ").append(what).append('\n');
    }

    void line(String line) {
        text.append("  ").append(line).append('\n');
    }

    /** Appends all files below a directory in the order of their names. */
    void directory(Path directory) throws IOException {
        if (!Files.isDirectory(directory)) {
            line(Files.exists(directory) ? "no directory but a file" : "no directory");
            return;
        }
        List<Path> files;
        try (Stream<Path> all = Files.walk(directory)) {
            files = all.filter(f -> !f.equals(directory)).sorted().toList();
        }
        List<Long> times = times(files);
        for (Path file : files) {
            line(directory.relativize(file) + " : "
                + (Files.isDirectory(file) ? "(directory)" : quoted(withOrderOfTimes(read(file), times))));
        }
    }

    private static String read(Path file) throws IOException {
        return new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1);
    }

    private static List<Long> times(List<Path> files) throws IOException {
        TreeSet<Long> times = new TreeSet<>();
        for (Path file : files) {
            if (Files.isRegularFile(file)) {
                TIME.matcher(read(file)).results().forEach(m -> times.add(Long.valueOf(m.group(2))));
            }
        }
        return List.copyOf(times);
    }

    private static String withOrderOfTimes(String content, List<Long> times) {
        return TIME.matcher(content)
            .replaceAll(m -> Matcher.quoteReplacement(m.group(1) + " #"
                + (times.indexOf(Long.valueOf(m.group(2))) + 1)));
    }

    private static String quoted(String content) {
        return '"' + content.replace("\\", "\\\\").replace("\n", "\\n") + '"';
    }

    String text() {
        return text.toString();
    }

    /** Returns the SHA-256 of the text in hexadecimal digits. */
    String digest() throws NoSuchAlgorithmException {
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    }
}
