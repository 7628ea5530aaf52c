package spurroad.program.restart;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Small text files of one directory. Each is replaced atomically, so that after a crash and for any reader it
 * has either the previous or the new content.
 */
final class AtomicFiles {
    private static final String PART_SUFFIX = ".part";

    private final Path directory;

    AtomicFiles(Path directory) {
        this.directory = directory;
    }

    /** Lists the files whose name ends with a suffix, including incomplete ones. */
    List<Path> list(String suffix) throws IOException {
        List<Path> matching = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory)) {
            for (Path file : files) {
                if (file.getFileName().toString().endsWith(suffix)) {
                    matching.add(file);
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return matching;
    }

    /** Returns whether the name is that of a file that a process has not written completely. */
    static boolean isPart(String name) {
        return name.endsWith(PART_SUFFIX);
    }

    /** Reads a file as UTF-8 and replaces malformed bytes; empty if there is no such file. */
    static Optional<String> read(Path file) throws IOException {
        try {
            return Optional.of(new String(Files.readAllBytes(file), StandardCharsets.UTF_8));
        } catch (NoSuchFileException e) {
            return Optional.empty();
        }
    }

    /** Writes a temporary file, syncs it and renames it to the given name. */
    void write(String name, long writerPid, String text) throws IOException {
        Path part = directory.resolve(name + "." + writerPid + PART_SUFFIX);
        try (FileChannel channel = FileChannel.open(part, StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true); // a file renamed before its bytes are on disk can be empty after a crash
        }
        Files.move(part, directory.resolve(name), StandardCopyOption.ATOMIC_MOVE,
            StandardCopyOption.REPLACE_EXISTING);
    }

    void delete(String name) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
    }

    /** Deletes the incomplete files of a process that has died. */
    void deleteParts(long writerPid) throws IOException {
        for (Path part : list("." + writerPid + PART_SUFFIX)) {
            Files.deleteIfExists(part);
        }
    }
}
