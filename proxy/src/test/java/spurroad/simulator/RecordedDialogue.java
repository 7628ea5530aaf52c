package spurroad.simulator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * A recorded exchange of batches and replies, read from a resource file whose header describes its format.
 */
final class RecordedDialogue {
    private static final HexFormat HEX = HexFormat.of();
    private static final int REPLY_HEADER_BYTES = 8;
    private static final int RECORD_HEADER_BYTES = 5;

    private final ByteArrayOutputStream input = new ByteArrayOutputStream();
    private final List<String> replies = new ArrayList<>();
    private final List<Integer> inputCodes = new ArrayList<>();
    private final List<Integer> outputCodes = new ArrayList<>();

    /** Reads the dialogue from a resource. */
    static RecordedDialogue ofResource(String name) {
        try (InputStream in = RecordedDialogue.class.getResourceAsStream(name)) {
            return new RecordedDialogue(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private RecordedDialogue(String text) {
        String joinedLines = text.replaceAll("(?m)^#.*\n", "").replaceAll("\n +", " ");
        joinedLines.lines().filter(line -> !line.isBlank()).forEach(this::addLine);
    }

    private void addLine(String line) {
        String[] parts = line.split(" +", 2);
        byte[] bytes = bytes(parts[1]);
        switch (parts[0]) {
            case "batch" -> input.writeBytes(bytes);
            case "in" -> {
                input.writeBytes(bytes);
                inputCodes.add(bytes[0] & 0xff);
            }
            case "reply" -> replies.add("reply " + HEX.formatHex(bytes));
            case "out" -> {
                replies.add("out " + HEX.formatHex(bytes));
                outputCodes.add(bytes[0] & 0xff);
            }
            default -> throw new IllegalArgumentException(line);
        }
    }

    /** Decodes groups of hexadecimal digits and quoted texts into bytes. */
    private static byte[] bytes(String line) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (String word : line.split(" +")) {
            bytes.writeBytes(word.startsWith("\"")
                ? word.substring(1, word.length() - 1).translateEscapes().getBytes(StandardCharsets.UTF_8)
                : HEX.parseHex(word));
        }
        return bytes.toByteArray();
    }

    /** Returns the bytes that the simulator sends. */
    byte[] input() {
        return input.toByteArray();
    }

    /** Returns the expected replies, one line for each header and each record. */
    List<String> replies() {
        return replies;
    }

    /** Returns the code of each record that the simulator sends. */
    List<Integer> inputCodes() {
        return inputCodes;
    }

    /** Returns the code of each record of the replies. */
    List<Integer> outputCodes() {
        return outputCodes;
    }

    /** Splits the output of the adapter into lines in the format of {@link #replies}. */
    static List<String> repliesOf(byte[] output) {
        List<String> lines = new ArrayList<>();
        ByteBuffer bytes = ByteBuffer.wrap(output);
        while (bytes.hasRemaining()) {
            int end = bytes.position() + REPLY_HEADER_BYTES + bytes.getInt(bytes.position());
            lines.add("reply " + next(bytes, REPLY_HEADER_BYTES));
            while (bytes.position() < end) {
                int length = bytes.getInt(bytes.position() + 1);
                lines.add("out " + next(bytes, RECORD_HEADER_BYTES + length));
            }
        }
        return lines;
    }

    private static String next(ByteBuffer bytes, int count) {
        byte[] copy = new byte[count];
        bytes.get(copy);
        return HEX.formatHex(copy);
    }
}
