package spurroad.testbed.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/**
 * Sends signals to the testbed's child processes through one shell that stays open, because to start a
 * process for each signal would delay it. Thread-safe.
 */
final class Signals implements AutoCloseable {
    static final String STOP = "STOP";
    static final String CONTINUE = "CONT";

    private final Process shell;
    private final Writer shellInput;

    Signals() throws IOException {
        shell = new ProcessBuilder("sh").redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
        shellInput = shell.outputWriter(StandardCharsets.ISO_8859_1);
    }

    /** Sends a signal to a child; does nothing if the child has ended. */
    synchronized void send(String signal, Process child) {
        if (!child.isAlive()) {
            return;
        }
        try {
            shellInput.write("kill -" + signal + " " + child.pid() + "\n");
            shellInput.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("the shell that sends signals has ended", e);
        }
    }

    /** Ends the shell, and waits for its end. */
    @Override
    public void close() {
        shell.destroyForcibly();
        try {
            shell.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
