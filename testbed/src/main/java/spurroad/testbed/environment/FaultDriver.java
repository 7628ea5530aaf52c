package spurroad.testbed.environment;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import spurroad.testbed.environment.Membership.State;
import spurroad.testbed.model.CacheNode;
import spurroad.testbed.model.LoadGenerator;
import spurroad.testbed.scenario.Scenario.Fault;

/**
 * Injects the faults of a scenario into its environment, each at its time, and undoes each after its
 * duration.
 */
public final class FaultDriver {
    /** After which discovery removes a node that has vanished. */
    private static final long REMOVAL_DELAY_NANOS = 4_000_000_000L;
    /** How long a flapping node is down, and then up. */
    private static final long FLAP_HALF_PERIOD_NANOS = 500_000_000L;

    private final Environment environment;
    private final LoadGenerator generator;
    private final ProxyControl proxies;
    private final Consumer<String> log;
    private int replacements;

    /** Creates a driver; the log receives a line when a fault begins or ends. */
    public FaultDriver(Environment environment, LoadGenerator generator, ProxyControl proxies,
                       Consumer<String> log) {
        this.environment = environment;
        this.generator = generator;
        this.proxies = proxies;
        this.log = log;
    }

    /** Schedules all faults, counted from now. */
    public void begin() {
        long loadStart = environment.timeline.now();
        for (Fault fault : environment.scenario.faults()) {
            environment.timeline.at(loadStart + fault.atNs(), () -> beginFault(fault));
            environment.timeline.at(loadStart + fault.atNs() + fault.forNs(), () -> endFault(fault));
        }
    }

    private void beginFault(Fault fault) {
        String targets = fault.targets().isEmpty() ? "" : " at " + fault.targets();
        log.accept(fault.kind() + " begins" + targets);
        set(fault, true);
    }

    private void endFault(Fault fault) {
        log.accept(fault.kind() + " ends");
        set(fault, false);
    }

    private void set(Fault fault, boolean on) {
        double speed = on ? fault.factor() : 1;
        double fraction = on ? fault.factor() : 0;
        switch (fault.kind()) {
            case SLOW -> atNodes(fault, node -> node.speed(speed));
            case SILENT -> atNodes(fault, node -> node.silent(on));
            case FAILING -> atNodes(fault, node -> node.failing(fraction));
            case FLAPPING -> setFlapping(fault, on);
            case HALF_OPEN -> atNodes(fault,
                node -> node.reach(on ? CacheNode.Reach.HALF_OPEN : CacheNode.Reach.UP));
            case CUT_BACK -> atNodes(fault, node -> node.cutBack(on));
            case SPOILT -> atNodes(fault, node -> node.spoilt(fraction));
            case LOST -> atNodes(fault, node -> setLost(node, on));
            case LOST_ZONE -> nodesOfZones(fault, on).forEach(node -> setLost(node, on));
            case DRAIN -> atNodes(fault, node -> setDraining(node, on));
            case REPLACED -> replace(fault, on);
            case FLUSHED -> atNodes(fault, on ? CacheNode::flush : node -> {});
            case LATE_LIST -> environment.members.late(on);
            case PROXY_STOPPED -> atProxies(fault, proxy -> proxies.stopped(proxy, on));
            case PROXY_KILLED -> atProxies(fault, proxy -> proxies.killed(proxy, on));
            case PROXY_SHARE -> atProxies(fault, proxy -> proxies.share(proxy, speed));
            case BURST -> generator.times(speed);
            case HOT_KEY -> generator.hot(fraction);
            case ORIGIN_SLOW -> environment.origin.speed(speed);
        }
    }

    private void atNodes(Fault fault, Consumer<CacheNode> action) {
        fault.targets().stream().map(environment.nodes::get).forEach(action);
    }

    private void atProxies(Fault fault, IntConsumer action) {
        for (String name : fault.targets()) {
            String number = name.substring(name.indexOf('-') + 1);
            action.accept(Integer.parseInt(number));
        }
    }

    /** Returns the nodes of the fault's zones; only those that are up where the fault begins. */
    private List<CacheNode> nodesOfZones(Fault fault, boolean isBeginning) {
        return environment.nodes.values().stream()
            .filter(node -> fault.targets().contains(node.group.zone()))
            .filter(node -> !isBeginning || node.reach() == CacheNode.Reach.UP).toList();
    }

    private void setFlapping(Fault fault, boolean on) {
        long end = environment.timeline.now() + fault.forNs();
        if (on) {
            atNodes(fault, node -> flap(node, end, true));
        } else {
            atNodes(fault, node -> node.reach(CacheNode.Reach.UP));
        }
    }

    private void flap(CacheNode node, long end, boolean down) {
        if (environment.timeline.now() < end) {
            node.reach(down ? CacheNode.Reach.DOWN : CacheNode.Reach.UP);
            environment.timeline.after(FLAP_HALF_PERIOD_NANOS, () -> flap(node, end, !down));
        }
    }

    private void setLost(CacheNode node, boolean on) {
        if (on) {
            node.reach(CacheNode.Reach.VANISHED);
            environment.timeline.after(REMOVAL_DELAY_NANOS, () -> removeIfVanished(node));
        } else {
            node.restart();
            Membership.Entry entry = environment.members.entry(node.uid);
            environment.members.change(node.uid, entry.group(), entry.place(), State.ACTIVE,
                node.startedAt());
        }
    }

    private void removeIfVanished(CacheNode node) {
        if (node.reach() == CacheNode.Reach.VANISHED) {
            environment.members.change(node.uid, State.LEFT);
        }
    }

    private void setDraining(CacheNode node, boolean on) {
        environment.members.change(node.uid, on ? State.LEAVING : State.LEFT);
        if (!on) {
            node.gone();
        }
    }

    private void replace(Fault fault, boolean on) {
        if (on) {
            fault.targets().forEach(uid -> environment.replace(uid, uid + "." + ++replacements));
        }
    }
}
