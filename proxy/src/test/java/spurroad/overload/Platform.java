package spurroad.overload;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import spurroad.admin.AdminServerTest;

/**
 * Holds a listening socket as a service manager does, and starts real proxies that inherit it as descriptor
 * 0. Java can't pass a socket to a child process, so a few lines of Perl, which every Debian has, hold the
 * socket and start the commands that they read.
 */
public final class Platform implements AutoCloseable {
    private static final String HOLDER = String.join("\n", "use IO::Socket::INET;",
        "my $s = IO::Socket::INET->new(LocalAddr => '127.0.0.1', LocalPort => 0, Listen => 1024) or die;",
        "open(my $orders, '<&', \\*STDIN); open(STDIN, '<&', $s); $| = 1; $SIG{CHLD} = 'IGNORE';",
        "print $s->sockport, \"\\n\";", "while (my $line = <$orders>) {",
        "  chomp $line; my $pid = fork(); if (!$pid) { exec('/bin/sh', '-c', $line); } print \"$pid\\n\"; }",
        "kill 'KILL', $_ for @ARGV;");
    private static final long READY_TIMEOUT_SECONDS = 30; // long enough on a busy machine

    /** A started proxy process. */
    public record Proxy(long pid, int adminPort, Path log) {
        public String call(String method, String path) throws IOException {
            return AdminServerTest.call(adminPort, method, path);
        }

        public boolean alive() {
            return ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false);
        }

        public void terminate() {
            ProcessHandle.of(pid).ifPresent(ProcessHandle::destroy);
        }

        public void kill() {
            ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
        }

        public boolean ended(long seconds) throws InterruptedException {
            for (long i = 0; i < 100 * seconds && alive(); i++) {
                Thread.sleep(10);
            }
            return !alive();
        }

        /** Returns the resident memory in MiB; 0 if the process has ended. */
        public double residentMb() throws IOException {
            try {
                return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                    .filter(l -> l.startsWith("VmRSS"))
                    .mapToDouble(l -> Double.parseDouble(l.replaceAll("\\D", "")) / 1024)
                    .findFirst().orElse(0);
            } catch (IOException e) {
                return 0;
            }
        }
    }

    private final Process holder;
    private final BufferedReader processIds;
    private final Writer commands;
    private final Path folder;
    private final Set<Long> started = new TreeSet<>();
    /** Port that clients connect to. */
    public final int port;

    public Platform() throws IOException {
        folder = Files.createTempDirectory("platform");
        holder = new ProcessBuilder("perl", "-e", HOLDER).redirectError(ProcessBuilder.Redirect.INHERIT)
            .start();
        processIds = new BufferedReader(new InputStreamReader(holder.getInputStream()));
        commands = new OutputStreamWriter(holder.getOutputStream());
        port = Integer.parseInt(processIds.readLine());
    }

    /** Returns the hot restart directory of the proxies. */
    public Path shared() {
        return folder;
    }

    /**
     * Starts a proxy without waiting for it.
     *
     * @param configuration the text of its configuration file
     * @param command the command line up to the subcommand `serve`, which is not part of it
     */
    public Proxy start(String configuration, String command) throws IOException {
        int admin = Overload.freePort();
        Path file = Files.writeString(Files.createTempFile(folder, "proxy", ".json"), configuration);
        Path log = Path.of(file + ".log");
        Map<String, String> environment = Map.of("BALANCER_CONFIG", file.toString(), "TMPDIR",
            folder.toString(),
            "BALANCER_LISTEN_FD", "0", "BALANCER_ADMIN_ADDR", "127.0.0.1:" + admin);
        StringBuilder line = new StringBuilder();
        environment.forEach((name, value) -> line.append(name).append('=').append(value).append(' '));
        commands.write(line + "exec " + command + " serve > " + log + " 2>&1\n");
        commands.flush();
        long pid = Long.parseLong(processIds.readLine());
        started.add(pid);
        return new Proxy(pid, admin, log);
    }

    /** Starts a proxy and waits until its health check succeeds. */
    public Proxy ready(String configuration, String command) throws IOException, InterruptedException {
        Proxy p = start(configuration, command);
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        while (System.nanoTime() < until) {
            try {
                if (p.call("GET", "/healthcheck").startsWith("HTTP/1.1 200")) {
                    return p;
                }
            } catch (IOException e) {
                // the proxy does not listen yet
            }
            Thread.sleep(20);
        }
        throw new IOException("health check never succeeded: " + Files.readString(p.log));
    }

    /**
     * Returns a command that runs the compiled classes of the proxy on this Java, with the flags of a small
     * virtual machine.
     */
    public static String fromClasses() {
        return String.join(" ", List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-Djava.net.preferIPv4Stack=true",
            "-cp",
            System.getProperty("java.class.path").replace(File.pathSeparator, ":"), "spurroad.program.Main"));
    }

    @Override
    public void close() throws IOException {
        started.forEach(pid -> ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly));
        holder.destroyForcibly();
    }
}
