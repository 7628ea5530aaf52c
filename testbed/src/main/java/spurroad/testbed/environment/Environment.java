package spurroad.testbed.environment;

import java.util.ArrayList;
import java.util.IntSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import spurroad.testbed.checker.OutcomeStatistics;
import spurroad.testbed.checker.RuleChecker;
import spurroad.testbed.environment.Membership.State;
import spurroad.testbed.model.CacheNode;
import spurroad.testbed.model.LoadGenerator;
import spurroad.testbed.model.Origin;
import spurroad.testbed.model.OriginState;
import spurroad.testbed.model.RandomStream;
import spurroad.testbed.scenario.Scenario;
import spurroad.testbed.scenario.Scenario.NodeGroup;
import spurroad.testbed.time.Timeline;

/**
 * The models of a scenario on one timeline: origin, cache nodes, discovery's list, the rule checker and the
 * outcomes; all but the proxies and the way to them. Used by the timeline's thread only.
 */
public final class Environment {
    private static final long CHECK_INTERVAL_NANOS = 100_000_000L;
    private static final long QUEUE_SAMPLE_INTERVAL_NANOS = 1_000_000_000L;
    /** After the last client's patience, so that late answers are observed. */
    private static final long DRAIN_NANOS = 1_000_000_000L;
    /** After the end; the rule checker holds nothing for so long. */
    private static final long FINAL_SWEEP_DELAY_NANOS = 60_000_000_000L;

    public final Scenario scenario;
    public final long seed;
    public final Timeline timeline;
    public final RuleChecker checker;
    public final OutcomeStatistics outcomes;
    public final OriginState ledger = new OriginState();
    public final Origin origin;
    public final Membership members;
    /** All cache nodes that are or were in the environment, by uid. */
    public final Map<String, CacheNode> nodes = new LinkedHashMap<>();
    private final List<Queues> queues = new ArrayList<>();
    private Consumer<CacheNode> nodeListener = node -> {};

    /** Creates the models of a scenario on a timeline, before anything happens. */
    public Environment(Scenario scenario, long seed, Timeline timeline) {
        this.scenario = scenario;
        this.seed = seed;
        this.timeline = timeline;
        checker = new RuleChecker(scenario.rules());
        outcomes = new OutcomeStatistics(scenario);
        origin = new Origin(scenario.world().origin(), scenario.load(), timeline, ledger, checker,
            new RandomStream(seed, Origin.UID));
        members = new Membership(timeline, scenario.world().listNs());
        int place = 0;
        members.begin(Origin.UID, null, place++);
        for (NodeGroup group : scenario.world().nodes()) {
            for (int i = 0; i < group.count(); i++) {
                addNode(group.uid(i), group);
                members.begin(group.uid(i), group, place++);
            }
        }
    }

    private CacheNode addNode(String uid, NodeGroup group) {
        CacheNode node = new CacheNode(uid, group, scenario.load(), timeline, ledger, checker,
            new RandomStream(seed, uid));
        nodes.put(uid, node);
        return node;
    }

    /** Sets the listener that is notified of each node that appears later; one listener at a time. */
    public void onAppeared(Consumer<CacheNode> listener) {
        nodeListener = listener;
    }

    /** Replaces a node by a new and cold one at the same address. */
    void replace(String uid, String newUid) {
        CacheNode old = nodes.get(uid);
        Membership.Entry entry = members.entry(uid);
        old.gone();
        members.change(uid, State.LEFT);
        CacheNode next = addNode(newUid, old.group);
        next.restart();
        members.change(newUid, old.group, entry.place(), State.ACTIVE, next.startedAt());
        nodeListener.accept(next);
    }

    /**
     * Begins the load, the checks for unanswered requests and the samples of queues; at the timeline's zero.
     */
    public void begin(LoadGenerator generator) {
        checkUntil(endNs());
        sampleQueuesUntil(endNs());
        generator.begin(scenario.lengthNs());
    }

    /** Returns the time at which the run ends, after the last client's patience. */
    public long endNs() {
        return scenario.lengthNs() + scenario.load().clients().patienceNs() + DRAIN_NANOS;
    }

    /** Ends the run: requests that are still unanswered are counted as such. */
    public void end() {
        checker.sweep(endNs() + FINAL_SWEEP_DELAY_NANOS);
    }

    /** Records for the rule checker that a proxy is notified now of the changes after a revision. */
    public void told(int proxy, long afterRevision) {
        for (Membership.Entry entry : members.since(afterRevision)) {
            checker.told(timeline.now(), proxy, entry.uid(), switch (entry.state()) {
                case ACTIVE -> null;
                case LEAVING -> "draining";
                case LEFT -> "gone";
            });
        }
    }

    private void checkUntil(long ns) {
        if (timeline.now() < ns) {
            timeline.after(CHECK_INTERVAL_NANOS, () -> {
                checker.sweep(timeline.now());
                checkUntil(ns);
            });
        }
    }

    private void sampleQueuesUntil(long ns) {
        if (timeline.now() < ns) {
            IntSummaryStatistics inFlight = nodes.values().stream()
                .filter(node -> node.reach() != CacheNode.Reach.DOWN)
                .mapToInt(CacheNode::inFlight).summaryStatistics();
            int most = inFlight.getCount() == 0 ? 0 : inFlight.getMax();
            queues.add(new Queues(inFlight.getAverage(), most, origin.inFlight()));
            timeline.after(QUEUE_SAMPLE_INTERVAL_NANOS, () -> sampleQueuesUntil(ns));
        }
    }

    /** Returns the requests in flight at servers, by second from the beginning of the load. */
    public List<Queues> queues() {
        return queues;
    }

    /**
     * Requests in flight at one moment.
     *
     * @param mean of all cache nodes that are up
     * @param most at one cache node
     * @param origin at the origin
     */
    public record Queues(double mean, int most, int origin) {}

    /** Creates the load generator of the scenario, which sends through a gateway. */
    public LoadGenerator generator(LoadGenerator.Gateway gateway) {
        return new LoadGenerator(scenario, seed, timeline, gateway, outcomes);
    }
}
