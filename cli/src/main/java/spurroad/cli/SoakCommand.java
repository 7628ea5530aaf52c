package spurroad.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import spurroad.testbed.soak.PlantedFault;
import spurroad.testbed.soak.SoakResult;
import spurroad.testbed.soak.SoakRun;
import spurroad.testbed.soak.SoakSettings;

/** Injects overlapping random faults into an environment of real proxy processes and checks invariants. */
@Command(name = "soak", mixinStandardHelpOptions = true, description = {
    "Runs random faults, two or three at a time, against real proxy processes on loopback and checks their",
    "invariants from the socket traffic. The same seed repeats its schedule. Needs gcc and perl."})
final class SoakCommand implements Callable<Integer> {
    /** The name of {@code --inject-fault} before version 0.2.0. */
    static final String DEPRECATED_INJECT_OPTION = "--plant";

    @Option(names = "--seed", paramLabel = "N", split = ",",
        description = "Seeds; one run for each (${DEFAULT-VALUE}).")
    private List<Long> seeds = List.of(1L);
    @Option(names = "--count", paramLabel = "N",
        description = "Number of consecutive seeds from each given one (${DEFAULT-VALUE}).")
    private int count = 1;
    @Option(names = "--seconds", paramLabel = "N", description = "Length of each run (${DEFAULT-VALUE}).")
    private int seconds = 40;
    @Option(names = "--proxies", paramLabel = "N", description = "Number of real proxies (${DEFAULT-VALUE}).")
    private int proxies = 10;
    @Option(names = "--nodes", paramLabel = "N", description = "Number of cache nodes (${DEFAULT-VALUE}).")
    private int nodes = 8;
    @Option(names = {"--inject-fault", SoakCommand.DEPRECATED_INJECT_OPTION}, paramLabel = "FAULT",
        description = {"Plants this fault; fails unless it is detected: ${COMPLETION-CANDIDATES}.",
            "Deprecated: the former name " + SoakCommand.DEPRECATED_INJECT_OPTION
                + " is accepted until the next version."})
    private PlantedFault injectedFault = PlantedFault.NONE;
    @Option(names = "--plan", description = "Prints the fault schedule and runs nothing.")
    private boolean planOnly;
    private final Map<Long, SoakResult> results = new LinkedHashMap<>(); // by seed
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        int exitCode = 0;
        for (long firstSeed : seeds) {
            for (long seed = firstSeed; seed < firstSeed + count; seed++) {
                exitCode = Math.max(exitCode,
                    runOne(new SoakSettings(seed, seconds, proxies, nodes, injectedFault), out));
            }
        }
        if (!planOnly && seeds.size() * count > 1) {
            printTable(out);
        }
        return exitCode;
    }

    private void printTable(PrintWriter out) {
        out.println(
            "| seed | requests | attempts | crossed a close | killed at the end | late ms | violated |");
        out.println("| --- | --- | --- | --- | --- | --- | --- |");
        results.forEach((seed, result) -> out.println("| " + seed + " | " + result.requests() + " | "
            + result.attempts() + " | " + result.crossings() + " | " + result.killedAtEnd() + " | "
            + result.mostLateMs() + " | " + (result.passed() ? "-" : result.counts()) + " |"));
        out.flush();
    }

    private int runOne(SoakSettings settings, PrintWriter out) throws IOException, InterruptedException {
        Path root = Installation.home().toAbsolutePath().normalize();
        Path folder = Files.createTempDirectory("soak");
        try (SoakRun run = new SoakRun(settings, root, folder, line -> {})) {
            if (planOnly) {
                run.plan().forEach(out::println);
                return 0;
            }
            SoakResult result = run.play();
            results.put(settings.seed(), result);
            boolean isExpected = injectedFault == PlantedFault.NONE ? result.passed()
                : result.counts().containsKey(injectedFault.broken());
            print(out, settings.seed(), result, folder);
            return isExpected ? 0 : Spurroad.FAILED;
        }
    }

    private void print(PrintWriter out, long seed, SoakResult result, Path folder) {
        out.println("seed " + seed + ": " + result.requests() + " requests " + result.ends() + ", "
            + result.attempts() + " attempts, own threads late by " + result.mostLateMs() + " ms at most");
        result.violations().forEach(out::println);
        String fault = injectedFault == PlantedFault.NONE ? "" : "injected " + injectedFault + ", ";
        String verdict = result.passed() ? "all invariants held" : "VIOLATED " + result.counts();
        out.println("seed " + seed + ": " + fault + verdict + "; logs in " + folder);
        out.flush();
    }
}
