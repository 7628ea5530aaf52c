package spurroad.testbed.capacity;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import spurroad.control.decide.Endpoint;
import spurroad.control.decide.EndpointState;
import spurroad.control.decide.MassRemovalGuard;
import spurroad.control.decide.Snapshot;
import spurroad.control.decide.SnapshotHistory;
import spurroad.control.decide.SourceViews;

/** What one change of membership costs the control service's decisions, by how many nodes it knows. */
final class ControlDecisions implements Measure {
    // columns
    static final int VIEWS = 0;
    static final int GUARD = 1;
    static final int SNAPSHOT = 2;
    static final int DIFFERENCE = 3;
    static final int ALLOCATED = 4;
    static final int STATE = 5;
    private static final List<String> SOURCES = List.of("discovery", "second discovery");
    private static final SortedMap<String, String> POLICY = new TreeMap<>(Map.of("limit", "1"));
    private static final double MAX_LOST_FRACTION = 0.3;
    private static final long HOLD_NANOS = 60 * SyntheticFleet.SECOND_NANOS;
    private static final int HISTORY_LENGTH = 8;

    /** A fleet that two sources report; one of its nodes changes with each call. */
    private static final class ChangingFleet {
        private final SourceViews views = new SourceViews();
        private final MassRemovalGuard guard = new MassRemovalGuard(MAX_LOST_FRACTION, HOLD_NANOS);
        private final SnapshotHistory history = new SnapshotHistory(HISTORY_LENGTH);
        private final int nodes;
        private SortedMap<String, Endpoint> fleet = new TreeMap<>();
        private Snapshot before;
        private long changes;

        private ChangingFleet(int nodes) {
            this.nodes = nodes;
            SOURCES.forEach(source -> views.onFullList(source, SyntheticFleet.members(nodes)));
            mergeViews();
            before = snapshot();
            change();
            snapshot();
        }

        private void change() {
            EndpointState state = changes % 2 == 0 ? EndpointState.DRAINING : EndpointState.ACTIVE;
            Endpoint changed = SyntheticFleet.member((int) (changes / 2 % nodes), state);
            SOURCES.forEach(source -> views.onChanges(source, List.of(changed)));
            changes++;
            mergeViews();
        }

        private void mergeViews() {
            fleet = views.mergedEndpoints();
        }

        private void applyGuard() {
            guard.filter(changes, fleet);
        }

        private Snapshot snapshot() {
            return history.record(changes, "a change", fleet, POLICY);
        }

        /** All steps of one change. */
        private void allSteps() {
            change();
            applyGuard();
            Snapshot after = snapshot();
            after.differencesFrom(before);
            before = after;
        }

        private void difference() {
            history.latest().orElseThrow().differencesFrom(before);
        }

        private void changeAndSnapshot() {
            fleet.compute(fleet.firstKey(), (uid, m) -> m.withStatus(SyntheticFleet.member(0,
                m.status().state() == EndpointState.ACTIVE ? EndpointState.DRAINING : EndpointState.ACTIVE)
                .status()));
            snapshot();
        }
    }

    @Override
    public String name() {
        return "control";
    }

    @Override
    public String title() {
        return "The control service's decisions on one change of membership (two sources)";
    }

    @Override
    public String sizeName() {
        return "nodes";
    }

    @Override
    public List<Column> columns() {
        return List.of(new Column("views joined", "ms"), new Column("guard", "ms"),
            new Column("snapshot taken", "ms"), new Column("difference", "ms"),
            new Column("allocated in all", "KB"), new Column("state, 8 snapshots", "KB"));
    }

    @Override
    public List<Integer> sizes(MeasurementBudget budget) {
        return NodeCounts.of(budget);
    }

    @Override
    public List<Double> run(int nodes, MeasurementBudget budget) {
        Meter.Retained<ChangingFleet> retained = Meter.retain(NodeCounts.copies(nodes), () -> {
            ChangingFleet made = new ChangingFleet(nodes);
            for (int i = 0; i < HISTORY_LENGTH; i++) {
                made.allSteps();
            }
            return made;
        });
        ChangingFleet fleet = retained.value();
        Meter.Cost views = Meter.perCall(budget, fleet::change);
        Meter.Cost guard = Meter.perCall(budget, fleet::applyGuard);
        Meter.Cost snapshot = Meter.perCall(budget, fleet::changeAndSnapshot);
        Meter.Cost difference = Meter.perCall(budget, fleet::difference);
        Meter.Cost all = Meter.perCall(budget, fleet::allSteps);
        return List.of(views.cpuMillis(), guard.cpuMillis(), snapshot.cpuMillis(), difference.cpuMillis(),
            all.kilobytes(), retained.kilobytes());
    }
}
