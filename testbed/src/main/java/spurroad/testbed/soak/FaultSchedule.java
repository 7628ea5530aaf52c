package spurroad.testbed.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The faults of a run, drawn from its seed: in groups of two or three that overlap in time, most of them at
 * one proxy.
 *
 * @param faults in the order of their starts
 */
record FaultSchedule(List<Fault> faults) {
    /** The run starts and ends without faults. */
    private static final long WARM_UP_MS = 1_500;
    private static final long COOL_DOWN_MS = 5_000;
    /** The bounds of the time from one group of faults to the next. */
    private static final int MIN_INTERVAL_MS = 700;
    private static final int MAX_INTERVAL_MS = 2_000;
    /** The faults of a group start within this time. */
    private static final int GROUP_SPREAD_MS = 600;
    /** The fraction of groups with three faults; the others have two. */
    private static final double LARGE_GROUP_FRACTION = 0.5;
    /** A run in this many has crowds, each beside another fault of the same proxy. */
    private static final int RUNS_PER_CROWDED_RUN = 3;
    private static final int CROWDS = 2;
    private static final List<FaultKind> BESIDE_CROWDS = List.of(FaultKind.DISCOVERY_DOWN,
        FaultKind.PROXY_UPGRADED, FaultKind.PROXY_STOPPED);
    /** The fraction of faults that affect a proxy. */
    private static final double PROXY_FRACTION = 0.6;

    /** Draws the schedule of a run. */
    static FaultSchedule of(long seed, long lengthMs, int proxies, int nodes) {
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        long groupStartMs = WARM_UP_MS;
        while (groupStartMs < lengthMs - COOL_DOWN_MS) {
            int proxy = random.nextInt(proxies);
            int count = random.nextDouble() < LARGE_GROUP_FRACTION ? 3 : 2;
            for (int i = 0; i < count; i++) {
                long startMs = groupStartMs + random.nextInt(GROUP_SPREAD_MS);
                faults.add(drawFault(random, startMs, proxy, nodes));
            }
            groupStartMs += MIN_INTERVAL_MS + random.nextInt(MAX_INTERVAL_MS - MIN_INTERVAL_MS);
        }
        if (seed % RUNS_PER_CROWDED_RUN == 0) {
            addCrowds(random, faults, lengthMs, proxies);
        }
        faults.sort(Comparator.comparingLong(Fault::fromMs));
        return new FaultSchedule(List.copyOf(faults));
    }

    private static void addCrowds(Random random, List<Fault> faults, long lengthMs, int proxies) {
        for (int i = 0; i < CROWDS; i++) {
            long startMs = WARM_UP_MS
                + random.nextInt((int) Math.max(1, lengthMs - WARM_UP_MS - COOL_DOWN_MS));
            int proxy = random.nextInt(proxies);
            FaultKind other = BESIDE_CROWDS.get(random.nextInt(BESIDE_CROWDS.size()));
            faults.add(drawFault(random, FaultKind.CROWD, startMs, proxy));
            faults.add(drawFault(random, other, startMs + random.nextInt(GROUP_SPREAD_MS), proxy));
        }
    }

    private static Fault drawFault(Random random, long startMs, int proxy, int nodes) {
        FaultKind kind = drawKind(random);
        int target = switch (kind.target) {
            case PROXY, DISCOVERY -> proxy;
            case NODE -> random.nextInt(nodes);
            case ORIGIN -> 0;
        };
        return drawFault(random, kind, startMs, target);
    }

    private static Fault drawFault(Random random, FaultKind kind, long startMs, int target) {
        long durationMs = kind.minDurationMs + random.nextInt(kind.maxDurationMs - kind.minDurationMs + 1);
        return new Fault(kind, target, startMs, startMs + durationMs, random.nextDouble());
    }

    private static FaultKind drawKind(Random random) {
        boolean affectsProxy = random.nextDouble() < PROXY_FRACTION;
        List<FaultKind> kinds = Arrays.stream(FaultKind.values())
            .filter(kind -> kind != FaultKind.CROWD
                && kind.target == FaultKind.Target.PROXY == affectsProxy)
            .toList();
        return kinds.get(random.nextInt(kinds.size()));
    }
}
