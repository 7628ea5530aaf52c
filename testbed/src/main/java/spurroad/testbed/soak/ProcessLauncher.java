package spurroad.testbed.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/**
 * Starts the processes of one proxy, and holds the listening socket that they inherit. Java can't pass a
 * socket to a child process, so that a few lines of Perl hold the socket and start the commands that they
 * read. Used by one thread, except for {@link #close}.
 */
final class ProcessLauncher {
    private static final String LAUNCHER_SCRIPT = String.join("\n", "use IO::Socket::INET; $| = 1;",
        "my $port = shift; my $inherited = $port == 0;",
        "open(my $commands, '<&', \\*STDIN);",
        "if ($inherited) {",
        "  my $s = IO::Socket::INET->new(LocalAddr => '127.0.0.1', LocalPort => 0, Listen => 999)",
        "  or die; open(STDIN, '<&', $s); $port = $s->sockport; } else { open(STDIN, '<', '/dev/null'); }",
        "print \"$port\\n\"; $SIG{CHLD} = 'IGNORE';",
        "while (my $line = <$commands>) { chomp $line; my ($ignored, $command) = split(/ /, $line, 2);",
        "  my $pid = fork(); if (!$pid) {",
        "    if ($ignored) { $SIG{$_} = 'IGNORE' for ('TERM', 'HUP', 'INT'); }",
        "    exec('/bin/sh', '-c', $command); } print \"$pid\\n\"; }");
    /** Tells the script to open a socket itself. */
    private static final int OPEN_SOCKET = 0;

    private final Process launcher;
    private final BufferedReader output;
    private final Writer input;
    private final int port;

    /**
     * Starts the launcher.
     *
     * @param inheritsSocket whether processes inherit a listening socket as their standard input
     */
    ProcessLauncher(boolean inheritsSocket) throws IOException {
        int requestedPort = inheritsSocket ? OPEN_SOCKET : Sockets.freePort();
        launcher = new ProcessBuilder("perl", "-e", LAUNCHER_SCRIPT, Integer.toString(requestedPort))
            .redirectError(ProcessBuilder.Redirect.INHERIT).start();
        output = launcher.inputReader(StandardCharsets.US_ASCII);
        input = launcher.outputWriter(StandardCharsets.US_ASCII);
        port = Integer.parseInt(output.readLine());
    }

    /** Returns the port of the listening socket, inherited or not. */
    int port() {
        return port;
    }

    /** Starts a shell command, and returns its process id. */
    long launch(String command, boolean ignoresSignals) throws IOException {
        input.write((ignoresSignals ? "1 " : "0 ") + command + "\n");
        input.flush();
        return Long.parseLong(output.readLine());
    }

    /** Ends the launcher; the processes that it started live on. */
    void close() {
        launcher.destroyForcibly();
    }
}
