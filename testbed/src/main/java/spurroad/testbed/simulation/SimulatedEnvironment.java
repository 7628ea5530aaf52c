package spurroad.testbed.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import spurroad.configuration.ProxyConfiguration;
import spurroad.model.CacheKey;
import spurroad.model.CellId;
import spurroad.model.Deployment;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointKindId;
import spurroad.model.EndpointPhase;
import spurroad.model.ZoneId;
import spurroad.protocol.EndpointList;
import spurroad.testbed.environment.Environment;
import spurroad.testbed.environment.FaultDriver;
import spurroad.testbed.environment.Membership;
import spurroad.testbed.environment.ProxyControl;
import spurroad.testbed.environment.ProxyFile;
import spurroad.testbed.environment.ProxySelector;
import spurroad.testbed.model.Answer;
import spurroad.testbed.model.CacheNode;
import spurroad.testbed.model.LoadGenerator;
import spurroad.testbed.model.Origin;
import spurroad.testbed.model.RequestAttempt;
import spurroad.testbed.policy.Policy;
import spurroad.testbed.scenario.Scenario;
import spurroad.testbed.time.SimulatedTimeline;

/**
 * A scenario in simulated time: the models of an environment round the policy of each proxy, with messages
 * that take a fixed time. Deterministic: the same scenario and seed give the same run, in every process.
 */
public final class SimulatedEnvironment implements LoadGenerator.Gateway, ProxyControl {
    private static final String UNUSED_ADDRESS = "127.0.0.1:1"; // a configuration needs some
    private static final int SEEDS_PER_RUN = 1000; // for the first start of each proxy
    private static final int SEED_STEP_OF_RESTART = 7919; // a prime, so that no seed is used twice

    final SimulatedTimeline timeline = new SimulatedTimeline();
    final Scenario scenario;
    final Policy.Factory policyFactory;
    final Deployment deployment;
    final Membership members;
    final Origin origin;
    private final Environment environment;
    private final LoadGenerator generator;
    private final ProxySelector selector;
    private final List<SimulatedProxy> proxies = new ArrayList<>();
    private final boolean[] isStopped;
    private final Map<Integer, List<Runnable>> deferredEvents = new HashMap<>(); // of stopped proxies
    private final Map<EndpointId, String> uids = new HashMap<>();
    private final Map<Integer, Long> notifiedRevisions = new HashMap<>(); // by proxy
    private long starts;

    /** Prepares a run; the log receives a line for each fault that begins or ends. */
    public SimulatedEnvironment(Scenario scenario, long seed, Policy.Factory policyFactory,
                                Consumer<String> log) {
        this.scenario = scenario;
        this.policyFactory = policyFactory;
        environment = new Environment(scenario, seed, timeline);
        members = environment.members;
        origin = environment.origin;
        selector = new ProxySelector(scenario.world().proxies(), seed);
        deployment = deployment(environment);
        generator = environment.generator(this);
        environment.nodes.values().forEach(this::watch);
        environment.onAppeared(this::watch);
        isStopped = new boolean[scenario.world().proxies()];
        for (int i = 0; i < scenario.world().proxies(); i++) {
            proxies.add(startProxy(i));
        }
        new FaultDriver(environment, generator, this, log).begin();
    }

    /** Returns the deployment settings as a real proxy would read them from its configuration. */
    private static Deployment deployment(Environment environment) {
        ProxyFile file = new ProxyFile(environment, place -> UNUSED_ADDRESS, () -> 0);
        return new ProxyConfiguration(
            file.configuration(0, UNUSED_ADDRESS, UNUSED_ADDRESS)).settings.deployment;
    }

    private SimulatedProxy startProxy(int number) {
        notifiedRevisions.put(number, members.revision());
        long seed = environment.seed * SEEDS_PER_RUN + number + 1 + SEED_STEP_OF_RESTART * starts++;
        return new SimulatedProxy(this, number, seed);
    }

    private void watch(CacheNode node) {
        node.onReach(() -> {
            if (node.reach() == CacheNode.Reach.DOWN) {
                proxies.forEach(proxy -> proxy.onNodeDown(node));
            }
        });
    }

    /** Runs all of the scenario and returns the environment, with its rule checker and its outcomes. */
    public Environment play() {
        environment.begin(generator);
        timeline.runUntil(environment.endNs());
        environment.end();
        return environment;
    }

    /** Returns how many events have run; the same for the same run. */
    public long steps() {
        return timeline.ran();
    }

    // ---- what proxies ask for

    int requestClassIndex(Scenario.Track requestClass) {
        return scenario.load().tracks().indexOf(requestClass);
    }

    int tenantIndex(Scenario.Customer tenant) {
        return scenario.load().customers().indexOf(tenant);
    }

    /** Returns a key as real proxies hash it. */
    CacheKey key(int key) {
        return EndpointList.cacheKey("k" + key);
    }

    /** Returns the node of an endpoint; null for the origin. */
    CacheNode node(EndpointId endpoint) {
        return environment.nodes.get(uids.get(endpoint));
    }

    /** Returns the endpoints that changed after a revision, as the load balancer takes them. */
    List<Endpoint> endpoints(long afterRevision) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (Membership.Entry entry : members.since(afterRevision)) {
            Endpoint endpoint = entry.uid().equals(Origin.UID) ? originEndpoint(entry) : nodeEndpoint(entry);
            uids.put(endpoint.id(), entry.uid());
            endpoints.add(endpoint);
        }
        return endpoints;
    }

    private Endpoint originEndpoint(Membership.Entry entry) {
        EndpointKindId kind = new EndpointKindId(scenario.world().kinds().size()); // after those of the nodes
        return endpoint(entry, kind, new ZoneId(0), new CellId(0), 1);
    }

    private Endpoint nodeEndpoint(Membership.Entry entry) {
        EndpointKindId kind = new EndpointKindId(scenario.world().kinds().indexOf(entry.group().kind()));
        ZoneId zone = new ZoneId(scenario.world().zones().indexOf(entry.group().zone()));
        return endpoint(entry, kind, zone, new CellId(1), entry.group().weight());
    }

    private static Endpoint endpoint(Membership.Entry entry, EndpointKindId kind, ZoneId zone, CellId cell,
                                     double weight) {
        EndpointId id = new EndpointId(EndpointList.hash(entry.uid()));
        long startedAt = entry.startedAt() < 0 ? 0 : SimulatedProxy.EPOCH_NANOS + entry.startedAt();
        EndpointPhase phase = switch (entry.state()) {
            case ACTIVE -> EndpointPhase.READY;
            case LEAVING -> EndpointPhase.DRAINING;
            case LEFT -> EndpointPhase.REMOVED;
        };
        return new Endpoint(id, kind, zone, cell, startedAt, weight, phase);
    }

    /** A proxy that is subscribed to the endpoint list can have a new revision. */
    void onRevision(SimulatedProxy proxy) {
        whenRunning(proxy.number, () -> {
            boolean isCurrent = proxies.get(proxy.number) == proxy; // it was not restarted meanwhile
            if (isCurrent) {
                long notified = notifiedRevisions.put(proxy.number, members.revision());
                environment.told(proxy.number, notified);
                proxy.onEndpointUpdate(notified);
            }
        });
    }

    // ---- between clients and proxies

    @Override
    public int choose() {
        return selector.choose();
    }

    @Override
    public void send(RequestAttempt attempt) {
        SimulatedProxy proxy = proxies.get(attempt.proxy);
        environment.checker.sending(timeline.now(), attempt);
        timeline.after(scenario.world().oneWayNs(), () -> {
            if (!attempt.isOver()) {
                environment.checker.taken(timeline.now(), attempt);
                whenRunning(attempt.proxy, () -> proxy.onRequest(attempt));
            }
        });
    }

    @Override
    public void leave(RequestAttempt attempt) {
        environment.checker.left(timeline.now(), attempt);
        SimulatedProxy proxy = proxies.get(attempt.proxy);
        timeline.after(scenario.world().oneWayNs(),
            () -> whenRunning(attempt.proxy, () -> proxy.onClientDisconnect(attempt)));
    }

    /** A proxy answers an attempt. */
    void answered(RequestAttempt attempt, Answer answer) {
        timeline.after(scenario.world().oneWayNs(), () -> {
            environment.checker.answered(timeline.now(), attempt, answer);
            generator.answered(attempt, answer);
        });
    }

    /** A proxy's connection to the client of an attempt ends without an answer. */
    void cutOff(RequestAttempt attempt) {
        timeline.after(scenario.world().oneWayNs(), () -> {
            environment.checker.cutOff(timeline.now(), attempt);
            generator.broken(attempt, true);
        });
    }

    // ---- faults

    /** Runs an event at once, or when the proxy's process is continued. */
    private void whenRunning(int proxy, Runnable event) {
        if (isStopped[proxy]) {
            deferredEvents.computeIfAbsent(proxy, number -> new ArrayList<>()).add(event);
        } else {
            event.run();
        }
    }

    @Override
    public void stopped(int proxy, boolean on) {
        isStopped[proxy] = on;
        if (on) {
            environment.checker.held(timeline.now(), proxy);
        } else {
            environment.checker.released(timeline.now(), proxy);
            List<Runnable> events = deferredEvents.remove(proxy);
            if (events != null) {
                events.forEach(Runnable::run);
            }
        }
    }

    @Override
    public void killed(int proxy, boolean on) {
        if (on) {
            environment.checker.held(timeline.now(), proxy);
            proxies.get(proxy).kill();
        } else {
            environment.checker.forgets(proxy);
            proxies.set(proxy, startProxy(proxy));
            environment.checker.released(timeline.now(), proxy);
        }
        timeline.after(ProxySelector.NOTICE_NS, () -> selector.offer(proxy, !on));
    }

    @Override
    public void share(int proxy, double part) {
        // a simulated proxy uses no processor time
    }
}
