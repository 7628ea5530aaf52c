package spurroad.testbed.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Short soaks: single faults, planted violations that the checker must detect, and fault schedules. */
public class SoakTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final int SECONDS = 6;
    private static final int PROXIES = 2;
    private static final int NODES = 3;
    private static final long START_MS = 500;
    private static final long MAX_DURATION_MS = 3_000;

    @BeforeClass
    public void checkProxyIsBuilt() {
        assertTrue(Files.exists(ROOT.resolve("proxy/target/spurroad.jar")),
            "the module proxy is built before this one");
    }

    private static SoakSettings settings(long seed, PlantedFault planted) {
        return new SoakSettings(seed, SECONDS, PROXIES, NODES, planted);
    }

    private static SoakResult run(SoakSettings settings, FaultSchedule schedule)
        throws IOException, InterruptedException {
        try (SoakRun run = new SoakRun(settings, schedule, ROOT, Files.createTempDirectory("soak"),
            line -> {})) {
            return run.play();
        }
    }

    /** Returns a schedule with one fault at both proxies, or at the first two nodes. */
    private static FaultSchedule only(FaultKind kind, double detail) {
        List<Fault> faults = new ArrayList<>();
        for (int target = 0; target < PROXIES; target++) {
            long durationMs = Math.min(MAX_DURATION_MS, kind.maxDurationMs);
            faults.add(new Fault(kind, target, START_MS, START_MS + durationMs, detail));
        }
        return new FaultSchedule(faults);
    }

    @DataProvider
    Object[][] systemCallFaults() {
        return new Object[][] {{FaultKind.WAITS_ARE_INTERRUPTED}, {FaultKind.SHORT_READS_AND_WRITES},
            {FaultKind.ACCEPT_FAILS}, {FaultKind.SOCKET_FAILS}, {FaultKind.CONNECT_FAILS},
            {FaultKind.CONNECTIONS_BREAK}, {FaultKind.CLOCK_STEPPED}};
    }

    /** Failing system calls and clock steps violate no invariant. */
    @Test(dataProvider = "systemCallFaults")
    public void systemCallFaultsViolateNothing(FaultKind kind) throws Exception {
        SoakResult result = run(settings(2, PlantedFault.NONE), only(kind, 0.1));
        assertEquals(result.counts(), Map.of(), result.violations().toString());
        assertTrue(result.requests() > 100, "only " + result.requests() + " requests");
    }

    /**
     * Guards against missing a drain while waits are interrupted: the calls to discovery failed one by one.
     */
    @Test
    public void learnsOfDrainWhileWaitsAreInterrupted() throws Exception {
        List<Fault> faults = new ArrayList<>();
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            faults.add(new Fault(FaultKind.WAITS_ARE_INTERRUPTED, proxy, START_MS, START_MS + 4_000, 0.1));
        }
        faults.add(new Fault(FaultKind.NODE_DRAINED, 0, START_MS + 100, START_MS + 4_000, 0.1));
        SoakResult result = run(settings(2, PlantedFault.NONE), new FaultSchedule(faults));
        assertEquals(result.counts(), Map.of(), result.violations().toString());
    }

    @DataProvider
    Object[][] planted() {
        return Arrays.stream(PlantedFault.values()).filter(p -> p != PlantedFault.NONE)
            .map(p -> new Object[] {p}).toArray(Object[][]::new);
    }

    /** A planted violation is detected, and nothing else. */
    @Test(dataProvider = "planted")
    public void plantedFaultIsDetected(PlantedFault planted) throws Exception {
        FaultKind needed = switch (planted) {
            case SENT_TO_DRAINED -> FaultKind.NODE_DRAINED;
            case SENT_TO_OUT_OF_USE -> FaultKind.NODE_OUT_BY_HAND;
            case HANGING_END -> FaultKind.PROXY_STOPPED;
            default -> FaultKind.NODE_SLOW;
        };
        SoakResult result = run(settings(3, planted), only(needed, 0.1));
        assertEquals(result.counts().keySet(), Set.of(planted.broken()), result.violations().toString());
    }

    @Test
    public void seedDeterminesTheSchedule() {
        FaultSchedule schedule = FaultSchedule.of(7, 60_000, 10, 8);
        assertEquals(FaultSchedule.of(7, 60_000, 10, 8), schedule);
        assertNotEquals(FaultSchedule.of(8, 60_000, 10, 8), schedule);
        long overlapping = schedule.faults().stream().filter(fault -> schedule.faults().stream()
            .anyMatch(other -> other != fault && other.fromMs() <= fault.untilMs() + 500
                && fault.fromMs() <= other.untilMs() + 500))
            .count();
        assertTrue(overlapping > schedule.faults().size() * 3 / 4, "overlapping faults: " + overlapping);
    }
}
