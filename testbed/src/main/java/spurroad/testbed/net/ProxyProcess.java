package spurroad.testbed.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One real proxy as a process of its own, which can be stopped and continued, limited to a fraction of a
 * core, killed and started again. Its configuration and log are files in the run's folder.
 */
final class ProxyProcess {
    /** A start takes a second on an idle core. */
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long READY_POLL_INTERVAL_MS = 20;
    private static final int READY_RESPONSE_TIMEOUT_MS = 1000;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 10;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final byte[] META_NO_OP = "mn\r\n".getBytes(StandardCharsets.ISO_8859_1);

    final int number;
    final int port;
    private final List<String> command;
    private final Path configurationFile;
    private final Path logFile;
    private final Signals signals;
    private final CpuShareLimiter cpuShareLimiter;
    private volatile Process process;
    private volatile boolean stopped;
    private double peakMemoryMb;
    private int peakDescriptors;
    private double cpuSecondsOfKilled;

    ProxyProcess(int number, int port, List<String> command, Path folder, Signals signals) {
        this.number = number;
        this.port = port;
        this.command = command;
        this.signals = signals;
        configurationFile = folder.resolve(this + ".json");
        logFile = folder.resolve(this + ".log");
        cpuShareLimiter = new CpuShareLimiter(toString(), () -> process, () -> stopped, signals);
    }

    /** Starts the proxy with a configuration; an earlier process must have ended. */
    void start(String configuration) throws IOException {
        Files.writeString(configurationFile, configuration);
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(command)).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
        builder.environment().put("BALANCER_CONFIG", configurationFile.toString());
        stopped = false;
        process = builder.start();
    }

    /** Waits until the proxy answers requests; must not be called on the loop. */
    void awaitReady() throws IOException, InterruptedException {
        long deadline = System.nanoTime() + READY_TIMEOUT_MS * NANOS_PER_MILLI;
        while (System.nanoTime() < deadline && process.isAlive()) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(READY_RESPONSE_TIMEOUT_MS);
                socket.getOutputStream().write(META_NO_OP);
                if (socket.getInputStream().read() == 'M') {
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(READY_POLL_INTERVAL_MS);
            }
        }
        throw new IOException(
            this + " was not ready within " + READY_TIMEOUT_MS / 1000 + " s; its log is " + logFile);
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Stops the process by a signal, or continues it. */
    void stopped(boolean on) {
        stopped = on;
        signals.send(on ? Signals.STOP : Signals.CONTINUE, process);
    }

    void kill() {
        cpuSecondsOfKilled += cpuSecondsOfCurrent();
        process.destroyForcibly();
    }

    /** Limits the process to a fraction of a core; 1 for no limit. */
    void limitCpuShare(double share) {
        cpuShareLimiter.limit(share);
    }

    /** Samples memory and descriptors for the peaks; to be called about once a second. */
    void sampleUsage() {
        if (isAlive()) {
            peakMemoryMb = Math.max(peakMemoryMb, ProcessUsage.memoryMb(process.pid()));
            peakDescriptors = Math.max(peakDescriptors, ProcessUsage.descriptors(process.pid()));
        }
    }

    double peakMemoryMb() {
        return peakMemoryMb;
    }

    int peakDescriptors() {
        return peakDescriptors;
    }

    /** Returns the processor time, in seconds, of this and the killed processes of the proxy. */
    double cpuSeconds() {
        return cpuSecondsOfKilled + (isAlive() ? cpuSecondsOfCurrent() : 0);
    }

    private double cpuSecondsOfCurrent() {
        return Math.max(0, ProcessUsage.cpuSeconds(process.pid()));
    }

    /** Ends the process gracefully, or by force once that takes too long. */
    void end() throws InterruptedException {
        if (process == null) {
            return;
        }
        cpuShareLimiter.limit(1);
        signals.send(Signals.CONTINUE, process);
        process.destroy();
        if (!process.waitFor(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly();
        }
    }

    /** Ends the process by force, without waiting for its end. */
    void endNow() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    @Override
    public String toString() {
        return "p-" + number;
    }
}
