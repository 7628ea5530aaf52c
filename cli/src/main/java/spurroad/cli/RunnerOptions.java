package spurroad.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import picocli.CommandLine.Option;
import spurroad.testbed.experiment.ScenarioRunner;
import spurroad.testbed.policy.Policy;

/** Options that select the runner: real proxies of a jar on sockets, or a policy in simulated time. */
final class RunnerOptions {
    @Option(names = "--simulated", description = "Runs in simulated time, with the decision code only.")
    private boolean simulated;
    @Option(names = "--policy", paramLabel = "NAME",
        description = "Policy of the simulated proxies: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE}).")
    private Policy.Kind policy = Policy.Kind.MECHANISM;
    @Option(names = "--jar", paramLabel = "FILE",
        description = "The proxy's jar; by default that of this build.")
    private Path jar;
    @Option(names = "--flags", paramLabel = "FLAGS",
        description = "JVM flags of the proxies, instead of those for a small machine.")
    private String flags;
    @Option(names = "--cores", paramLabel = "LIST",
        description = "The cores that all proxies run on, such as 3 or 2-3 (Linux); any core if none are "
            + "given.")
    private String cores = "";

    ScenarioRunner runner() throws IOException {
        return simulated ? new ScenarioRunner.Simulated(policy) : socketRunner(chosenJar());
    }

    /** Returns a runner of real proxies that uses the jar of {@code --jar}, or that of this build. */
    ScenarioRunner.Sockets socketRunner() throws IOException {
        if (simulated) {
            throw new IOException("simulated proxies have no sockets; expected no --simulated");
        }
        return socketRunner(chosenJar());
    }

    /** Returns a runner of real proxies that uses the given jar. */
    ScenarioRunner.Sockets socketRunner(Path proxyJar) throws IOException {
        if (!Files.isRegularFile(proxyJar)) {
            throw new IOException(proxyJar + " is not a file; expected a proxy jar as written by the build");
        }
        List<String> virtualMachineFlags = flags == null ? ScenarioRunner.Sockets.FLAGS
            : Arrays.asList(flags.strip().split("\\s+"));
        return new ScenarioRunner.Sockets(proxyJar, virtualMachineFlags, cores);
    }

    private Path chosenJar() {
        return jar == null ? Installation.proxyJar() : jar;
    }
}
