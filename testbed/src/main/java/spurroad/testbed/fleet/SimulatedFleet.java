package spurroad.testbed.fleet;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.core.ControlMachine;
import spurroad.control.distribution.log.Command;
import spurroad.control.distribution.message.Participant;
import spurroad.control.distribution.relay.Relay;
import spurroad.control.distribution.replication.PersistentState;
import spurroad.control.distribution.state.ConfigurationEntry;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.PurgeBatch;
import spurroad.control.distribution.state.PurgeLog;
import spurroad.control.distribution.state.ResourceKey;
import spurroad.control.distribution.state.Scope;
import spurroad.control.distribution.state.StateListener;
import spurroad.control.distribution.subscribe.Subscriber;
import spurroad.testbed.time.SimulatedTimeline;

/**
 * All processes of a fleet on one simulated timeline: started, stopped and given changes. Not thread-safe.
 */
final class SimulatedFleet {
    static final int VALUE_BYTES = 40; // of a resource: address, zone, kind, weight, state, start

    private static final int REGION_RELAYS = 3;
    private static final int REGION_CANDIDATES = 6;
    private static final int SITE_RELAYS = 2;
    private static final int SITE_CANDIDATES = 4;
    private static final long REJECTED_PROPOSAL_RETRY_NANOS = 100 * FleetNetwork.MILLISECOND;
    private static final long PROPOSAL_TIMEOUT_NANOS = FleetNetwork.SECOND;
    private static final int GLOBAL_SETTINGS = 50;

    final FleetShape shape;
    final SimulatedTimeline timeline = new SimulatedTimeline();
    final FleetNetwork network;
    final FleetMeasures measures = new FleetMeasures();
    final List<Host> control = new ArrayList<>();
    final List<Host> proxies = new ArrayList<>();
    private final DistributionSettings settings = new DistributionSettings();
    private final Random random;
    private final Map<ProcessId, PersistentState> disks = new HashMap<>();
    private final Map<ProcessId, Relay.TreePosition> treePositions = new HashMap<>(); // of relay candidates
    private final Map<Integer, List<ProcessId>> siteRelays = new HashMap<>();
    private final Map<Integer, List<ProcessId>> regionRelays = new HashMap<>();
    private final int[] nodesOfRegion;
    private long proposals;

    SimulatedFleet(FleetShape shape, long seed) {
        this.shape = shape;
        random = new Random(seed);
        network = new FleetNetwork(timeline, shape.regions(), random.nextLong());
        nodesOfRegion = new int[shape.regions()];
        addControl();
        addProxies();
        chooseCandidates();
    }

    private void addControl() {
        for (int i = 0; i < shape.controlMachines(); i++) {
            Host host = new Host(new ProcessId(i), i % shape.regions(), 0, -1);
            control.add(host);
            network.add(host);
        }
    }

    private void addProxies() {
        List<FleetShape.Site> sites = shape.layOut();
        int next = shape.controlMachines();
        for (int site = 0; site < sites.size(); site++) {
            FleetShape.Site siteShape = sites.get(site);
            nodesOfRegion[siteShape.region()] += siteShape.nodes();
            for (int i = 0; i < siteShape.proxies(); i++) {
                Host host = new Host(new ProcessId(next++), siteShape.region(), siteShape.zone(), site);
                proxies.add(host);
                network.add(host);
            }
        }
    }

    private void chooseCandidates() {
        Map<Integer, List<Host>> bySite = new HashMap<>();
        Map<Integer, List<Host>> byRegion = new HashMap<>();
        for (Host host : proxies) {
            bySite.computeIfAbsent(host.site, unused -> new ArrayList<>()).add(host);
            byRegion.computeIfAbsent(host.region, unused -> new ArrayList<>()).add(host);
        }
        byRegion.forEach(this::chooseRegionCandidates);
        bySite.forEach(this::chooseSiteCandidates);
    }

    /** Chooses candidates from as many different zones as possible. */
    private void chooseRegionCandidates(int region, List<Host> hosts) {
        List<Host> shuffled = new ArrayList<>(hosts);
        Collections.shuffle(shuffled, random);
        List<Host> chosen = new ArrayList<>();
        for (int perZone = 1; chosen.size() < Math.min(REGION_CANDIDATES, hosts.size() / 3); perZone++) {
            for (Host host : shuffled) {
                long sameZone = chosen.stream().filter(other -> other.zone == host.zone).count();
                if (chosen.size() < REGION_CANDIDATES && sameZone < perZone && !chosen.contains(host)) {
                    chosen.add(host);
                }
            }
        }
        List<ProcessId> ids = Host.ids(chosen);
        regionRelays.put(region, ids);
        for (Host host : chosen) {
            host.isRegionCandidate = true;
            treePositions.put(host.id,
                new Relay.TreePosition("r" + region, shuffledControlMachines(region),
                    shuffledControlMachines(host.id.value()),
                    without(ids, host.id), SITE_RELAYS));
        }
    }

    /** Returns the control machines in a random order, the same for the same number. */
    private List<ProcessId> shuffledControlMachines(int number) {
        List<ProcessId> order = new ArrayList<>(Host.ids(control));
        Collections.shuffle(order, new Random(number));
        return order;
    }

    private void chooseSiteCandidates(int site, List<Host> hosts) {
        List<Host> chosen = hosts.stream().filter(host -> !host.isRegionCandidate).limit(SITE_CANDIDATES)
            .toList();
        List<ProcessId> ids = Host.ids(chosen);
        siteRelays.put(site, ids);
        for (Host host : chosen) {
            host.isSiteCandidate = true;
            List<ProcessId> upper = regionRelays.get(host.region);
            List<ProcessId> grantors = new ArrayList<>(upper);
            Collections.shuffle(grantors, new Random(site));
            treePositions.put(host.id,
                new Relay.TreePosition("s" + site, grantors, upper, without(ids, host.id), 0));
        }
    }

    private static List<ProcessId> without(List<ProcessId> ids, ProcessId self) {
        return ids.stream().filter(id -> !id.equals(self)).toList();
    }

    // ---- starting and stopping

    /** Starts the control machines, proposes the initial state, then starts all proxies within a spread. */
    void startAll(long spread) {
        control.forEach(this::start);
        timeline.runUntil(timeline.now() + 5 * FleetNetwork.SECOND);
        proposeInitialState();
        timeline.runUntil(timeline.now() + 5 * FleetNetwork.SECOND);
        for (Host host : proxies) {
            timeline.after((long) (random.nextDouble() * spread), () -> start(host));
        }
        timeline.runUntil(timeline.now() + spread);
    }

    private void proposeInitialState() {
        for (int i = 0; i < GLOBAL_SETTINGS; i++) {
            propose(setting(i));
        }
        for (int region = 0; region < shape.regions(); region++) {
            for (int node = 0; node < nodesOfRegion[region]; node++) {
                propose(node(region, node));
            }
        }
    }

    void start(Host host) {
        if (host.isUp()) {
            return;
        }
        host.startedAt = timeline.now();
        host.hasState = false;
        host.nextPurge = 0;
        host.participant = host.site < 0 ? controlMachine(host) : proxy(host);
        network.onStart(host);
    }

    private ControlMachine controlMachine(Host host) {
        PersistentState disk = disks.computeIfAbsent(host.id, unused -> new PersistentState());
        return new ControlMachine(timeline.now(), settings, host.id, Host.ids(control), disk, REGION_RELAYS,
            (index, command) -> measures.accepted(index, command, timeline.now()), random.nextLong());
    }

    private Participant proxy(Host host) {
        Scope scope = new Scope(regionName(host.region));
        StateListener listener = listener(host);
        Relay.TreePosition position = treePositions.get(host.id);
        if (position != null) {
            return new Relay(timeline.now(), settings, scope, position, listener, random.nextLong());
        }
        Subscriber subscriber = new Subscriber(settings, scope, new ConfigurationState(0), new PurgeLog(0, 0),
            0,
            listener, random.nextLong());
        subscriber.setParentCandidates(timeline.now(), siteRelays.get(host.site),
            regionRelays.get(host.region));
        return subscriber;
    }

    private StateListener listener(Host host) {
        return new StateListener() {
            @Override
            public void onConfigurationChange(ConfigurationEntry entry) {
                if (!host.hasState) {
                    host.hasState = true;
                    measures.hasState(host, timeline.now());
                }
                measures.changed(host, entry, timeline.now());
            }

            @Override
            public void onPurges(PurgeBatch batch, long fromNumber) {
                measures.purged(host, batch.toNumber(), timeline.now());
            }

            @Override
            public void onPurgeReset(long toNumber) {
                measures.purgesReset(host, toNumber);
            }
        };
    }

    static void stop(Host host) {
        host.participant = null;
    }

    // ---- changes and purges

    static String regionName(int region) {
        return "r" + region;
    }

    private byte[] value() {
        byte[] value = new byte[VALUE_BYTES];
        random.nextBytes(value);
        ByteBuffer.wrap(value).putLong(++proposals);
        return value;
    }

    private Command node(int region, int node) {
        return new Command.ConfigurationChange(new ResourceKey(regionName(region), "n" + node), value());
    }

    private Command setting(int setting) {
        return new Command.ConfigurationChange(new ResourceKey(ResourceKey.EVERYWHERE, "setting-" + setting),
            value());
    }

    /** Returns a random change: one in four concerns all regions, the others one region each, by its size. */
    Command anyChange() {
        if (random.nextInt(4) == 0) {
            return setting(random.nextInt(GLOBAL_SETTINGS));
        }
        int region = proxies.get(random.nextInt(proxies.size())).region;
        return node(region, random.nextInt(nodesOfRegion[region]));
    }

    Command purges(int count) {
        long[] hashes = new long[count];
        for (int i = 0; i < count; i++) {
            hashes[i] = random.nextLong();
        }
        return new Command.Purge(hashes);
    }

    /** Proposes a command to the leader, as an operator or the purge API would, until it is accepted. */
    void propose(Command command) {
        measures.proposed(command, timeline.now());
        proposeUntilAccepted(command);
    }

    private void proposeUntilAccepted(Command command) {
        Host primary = primary();
        boolean isProposed = primary != null && primary.control().replica().propose(command).isPresent();
        timeline.after(isProposed ? PROPOSAL_TIMEOUT_NANOS : REJECTED_PROPOSAL_RETRY_NANOS, () -> {
            if (!measures.isAccepted(command)) {
                proposeUntilAccepted(command);
            }
        });
    }

    /** Returns the leader that has a connected majority; null where there is none. */
    Host primary() {
        for (Host host : control) {
            if (host.isUp() && host.control().replica().isLeader()
                && host.control().replica().isConnected(timeline.now())) {
                return host;
            }
        }
        return null;
    }

    /** Returns how many proxies are up and lack an accepted change or purge. */
    long behind() {
        long sequence = measures.acceptedSequence();
        long purgeNumber = measures.acceptedPurges();
        return proxies.stream().filter(Host::isUp)
            .filter(host -> host.subscriber().configuration().sequence() < sequence
                || host.subscriber().purges().lastNumber() < purgeNumber)
            .count();
    }
}
