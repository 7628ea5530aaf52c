package spurroad.program.restart;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Verifies the behaviour of concurrent processes of one proxy byte for byte: each row runs a hot restart step
 * by step on a real directory and compares the SHA-256 of its trace (see {@link RestartTrace}). The trace of
 * the last run is in {@code target/hot-restart-traces}; if a digest differs, compare the trace with the one
 * that the same test writes on the previous commit.
 *
 * <p>Not covered, as they depend on threads and the operating system: the time between two polls, a lock that
 * another process holds briefly, and the log.
 */
public class HotRestartTraceTest {
    private static final Path TRACE_DIRECTORY = Path.of("target", "hot-restart-traces");
    private static final int RANDOM_STEPS = 300;

    private interface Steps {
        void play(HotRestartEnvironment environment) throws Exception;
    }

    private record Scenario(String name, Steps steps) {
        @Override
        public String toString() {
            return name; // shown in test reports
        }
    }

    private static Object[] row(String name, Steps steps, String digest) {
        return new Object[] {new Scenario(name, steps), digest};
    }

    private static Object[] random(long seed, String digest) {
        return row("random " + seed,
            environment -> new RandomHotRestart(environment, seed).play(RANDOM_STEPS), digest);
    }

    @DataProvider
    Object[][] scenarios() {
        return new Object[][] {
            row("alone", HotRestartScenarios::alone,
                "e971a94cda4a978b7b30780df2eee9453349461c92e8b62b8b86edefd99f55ea"),
            row("upgrade", HotRestartScenarios::upgrade,
                "d9093ab4b6d627e2543e9604dae81111fe25acdbfe3f772e866d43165ab75015"),
            row("four beside each other", HotRestartScenarios::fourBesideEachOther,
                "59b6a7fc688bc7e871a4f5a94634cc10e21693efd32cc2aead0cb85f0935ba16"),
            row("delayed answers", HotRestartScenarios::delayedAnswers,
                "ac946d0e265cefedacb17af5b3717e391b30cb0e26be7082c1383637a4a3bc9e"),
            row("opposite calls", HotRestartScenarios::oppositeCalls,
                "97f15848f64b89af05f637a24a45ccfd04e691899c74b131c2dd3908924a5faa"),
            row("files that are not believed", HotRestartScenarios::malformedFiles,
                "71a26efc63cbb2fbd34030ae99e33062b7ab2186cfe5c4745461fd64ec34cbf7"),
            row("foreign processes", HotRestartScenarios::foreignProcesses,
                "56ee71a9468915040ee475346d9c728b34a37851517a653db39172b67d7bff90"),
            row("single files fail", HotRestartScenarios::singleFilesFail,
                "ae13603a2398a63cddb200ebe0453389396b5477b4f8119231dcf8407071f092"),
            row("directory fails", HotRestartScenarios::directoryFails,
                "e56872474fdc11db8a043fc1bb2dd54c373a123864793ed8318386367749e761"),
            row("serves without directory", HotRestartScenarios::servesWithoutDirectory,
                "a01a155d3b79c2b2f2ab3b278c9ea9057bc7d9d17d620dc77765cd428cf6d4fa"),
            random(1, "921cbf36a97cde1762cef955515f39f006e6038fe6b5337741d9f27e94c1c1d8"),
            random(2, "faeda04586e60014e7646c81f34deac881c0d04b375886533da0ec85778d0fa9"),
            random(3, "dadbd71608512bf2665061908726d78792b1013309adca6f4220a9c0c9d4f28e"),
            random(4, "ad3258b2ee19aab83f920c21a2e7e269d84700a2df72129bdd7d33a6104ac852")};
    }

    @Test(dataProvider = "scenarios")
    public void traceMatchesDigest(Scenario scenario, String digest) throws Exception {
        RestartTrace trace = play(scenario.steps);
        Path file = write(scenario.name, trace);
        assertEquals(trace.digest(), digest, "trace differs from the expected one: " + file);
    }

    private static RestartTrace play(Steps steps) throws Exception {
        try (HotRestartEnvironment environment = new HotRestartEnvironment()) {
            steps.play(environment);
            return environment.trace();
        }
    }

    private static Path write(String name, RestartTrace trace) throws IOException {
        Files.createDirectories(TRACE_DIRECTORY);
        return Files.writeString(TRACE_DIRECTORY.resolve(name.replace(' ', '-') + ".txt"), trace.text());
    }
}
