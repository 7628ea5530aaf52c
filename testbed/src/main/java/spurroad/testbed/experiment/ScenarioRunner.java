package spurroad.testbed.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;
import spurroad.testbed.environment.Environment;
import spurroad.testbed.net.SocketEnvironment;
import spurroad.testbed.policy.Policy;
import spurroad.testbed.scenario.Scenario;
import spurroad.testbed.scenario.Scenario.Rules;
import spurroad.testbed.simulation.SimulatedEnvironment;

/** Runs one scenario with one seed: with real proxies on sockets, or in simulated time. */
public interface ScenarioRunner {
    /** Returns the name of the build under test in results; the same for the same build. */
    String build();

    /**
     * Runs the scenario to its end.
     *
     * @param folder for logs and configurations of proxies
     * @param log receives a line when a fault begins or ends
     */
    Result play(Scenario scenario, long seed, Path folder, Consumer<String> log)
        throws IOException, InterruptedException;

    private static double secondsSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Runs in simulated time, with a policy in each proxy. */
    record Simulated(Policy.Kind policy) implements ScenarioRunner {
        @Override
        public String build() {
            return "simulated " + policy;
        }

        @Override
        public Result play(Scenario scenario, long seed, Path folder, Consumer<String> log) {
            long startNanos = System.nanoTime();
            Environment environment = new SimulatedEnvironment(scenario, seed, policy, log).play();
            return Result.of(environment, "simulated", build(), "", List.of(), 0, secondsSince(startNanos));
        }
    }

    /** Runs on sockets, with a proxy's jar and the flags of its virtual machine. */
    final class Sockets implements ScenarioRunner {
        /**
         * The flags of a proxy on a small machine, without the class archive, which not every jar has.
         */
        public static final List<String> FLAGS = flagsOn(System.getProperty("os.arch"));
        private static final int HASH_DIGITS = 12;

        private final Path jar;
        private final List<String> flags;
        private final String cores;
        private final String build;

        /** Creates a runner whose proxies run on any core. */
        public Sockets(Path jar, List<String> flags) throws IOException {
            this(jar, flags, "");
        }

        /**
         * Creates a runner whose proxies run on some cores, such as "3" or "2-3"; on any where the text is
         * empty.
         */
        public Sockets(Path jar, List<String> flags, String cores) throws IOException {
            this.jar = jar.toAbsolutePath();
            this.flags = List.copyOf(flags);
            this.cores = cores;
            build = "sockets " + hash(Files.readAllBytes(jar));
        }

        /**
         * Returns the flags on a processor, by its name in the system property {@code os.arch}. Only on
         * x86-64 does the virtual machine start with so few shadow pages.
         */
        private static List<String> flagsOn(String processor) {
            List<String> flags = new ArrayList<>(List.of("-XX:-UsePerfData", "-Xms64m", "-Xmx64m", "-Xmn40m",
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xbatch", "-Xss256k"));
            if (processor.equals("amd64")) {
                flags.add("-XX:StackShadowPages=10");
            }
            return List.copyOf(flags);
        }

        private static String hash(byte[] bytes) {
            try {
                return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))
                    .substring(0, HASH_DIGITS);
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException("every Java has SHA-256", e);
            }
        }

        @Override
        public String build() {
            return build;
        }

        @Override
        public Result play(Scenario scenario, long seed, Path folder, Consumer<String> log)
            throws IOException, InterruptedException {
            long startNanos = System.nanoTime();
            try (SocketEnvironment sockets = new SocketEnvironment(scenario, seed, command(), folder, log)) {
                // proxies are child processes, which would outlive the test bed after Ctrl-C
                Thread shutdownHook = new Thread(sockets::endNow);
                Runtime.getRuntime().addShutdownHook(shutdownHook);
                Environment environment = sockets.play();
                Runtime.getRuntime().removeShutdownHook(shutdownHook);
                List<Result.Proxy> used = sockets.used().stream()
                    .map(u -> new Result.Proxy(u.proxy(), u.cpuSeconds(),
                        u.memoryMb(), u.descriptors()))
                    .toList();
                return Result.of(environment, "sockets", build, voidFor(environment, sockets.failure()), used,
                    sockets.clientConnections(), secondsSince(startNanos));
            }
        }

        /** Returns the command line that starts a proxy, without its configuration. */
        public List<String> command() {
            List<String> command = new ArrayList<>(
                cores.isEmpty() ? List.of() : List.of("taskset", "-c", cores));
            command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
            command.addAll(flags);
            command.addAll(List.of("-jar", jar.toString(), "serve"));
            return command;
        }

        private static String voidFor(Environment environment, String failure) {
            if (failure != null) {
                return failure;
            }
            Rules rules = environment.scenario.rules();
            double lateUs = environment.outcomes.lateUs().getValueAtPercentile(99);
            return lateUs * 1000 > rules.lateNs()
                ? "the rig ran late: " + lateUs / 1000 + " ms at the 99th percentile,"
                    + " more than " + rules.lateNs() / 1e6 + " ms"
                : "";
        }
    }
}
