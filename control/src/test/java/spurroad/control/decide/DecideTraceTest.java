package spurroad.control.decide;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.control.Trace;

/**
 * Pins the decisions of the control service over random calls by digests of their traces. The traces contain
 * the lines of snapshot differences and the versions of snapshots verbatim, because operators and proxies
 * receive them in that form.
 */
public class DecideTraceTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final List<String> SOURCES = List.of("discovery", "second", "nodes");
    private static final EndpointState[] STATES = EndpointState.values();
    private static final String[] POLICIES = {"soft-limit", "ring-points", "retries", "timeout"};

    private static Endpoint randomEndpoint(Random random, int nodeCount) {
        int nodeNumber = random.nextInt(nodeCount);
        String address = "10.0.0." + nodeNumber + ":" + (random.nextInt(12) == 0 ? 81 : 80);
        String zone = random.nextInt(20) == 0 ? "west" : "east";
        String kind = random.nextInt(20) == 0 ? "m2" : "m1";
        EndpointState state = random.nextInt(3) > 0 ? EndpointState.ACTIVE : STATES[random.nextInt(3)];
        double weight = random.nextInt(10) == 0 ? 2.5 : 1 + nodeNumber % 3;
        return new Endpoint("n" + nodeNumber, address, zone, kind, weight,
            new EndpointStatus(random.nextInt(4) * 1_000L, state));
    }

    private static List<Endpoint> randomEndpoints(Random random, int nodeCount, int count) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            endpoints.add(randomEndpoint(random, nodeCount));
        }
        return endpoints;
    }

    private static SortedMap<String, Endpoint> byUid(List<Endpoint> endpoints) {
        SortedMap<String, Endpoint> byUid = new TreeMap<>();
        endpoints.forEach(endpoint -> byUid.put(endpoint.uid(), endpoint));
        return byUid;
    }

    private static SortedMap<String, String> randomPolicy(Random random) {
        SortedMap<String, String> policy = new TreeMap<>();
        for (String key : POLICIES) {
            if (random.nextInt(3) > 0) {
                policy.put(key, Integer.toString(random.nextInt(3)));
            }
        }
        return policy;
    }

    private static void writeEndpoint(Trace trace, Endpoint endpoint) {
        trace.part('m').text(endpoint.uid()).text(endpoint.address()).text(endpoint.zone())
            .text(endpoint.kind())
            .real(endpoint.weight()).number(endpoint.status().startedAtMillis())
            .number(endpoint.status().state().ordinal());
    }

    private static void writeEndpoints(Trace trace, Map<String, Endpoint> byUid) {
        byUid.forEach((uid, endpoint) -> {
            trace.text(uid);
            writeEndpoint(trace, endpoint);
        });
    }

    // ---- merged endpoints of several sources

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {
            {1, "9b229255ebfed978079b0d1403861f758aca7cdacc2d5c45cfae2470236789f4"},
            {2, "1d39a9375c01e305fecf284e587de83cfaa5259b3c89c88a33007a99350781f9"},
        };
    }

    @Test(dataProvider = "seeds")
    public void mergedEndpointsAreUnchanged(int seed, String digest) {
        Trace trace = Trace.named("views-" + seed);
        Random random = new Random(seed);
        SourceViews views = new SourceViews();
        for (int step = 0; step < 4_000; step++) {
            String source = SOURCES.get(random.nextInt(SOURCES.size()));
            int kind = random.nextInt(10);
            trace.number(kind).text(source);
            if (kind < 3) {
                views.onFullList(source, randomEndpoints(random, 9, random.nextInt(14)));
            } else if (kind < 8) {
                views.onChanges(source, randomEndpoints(random, 9, 1 + random.nextInt(3)));
            } else if (kind < 9) {
                views.onSourceLost(source);
            }
            trace.flag(views.isAnySourceLive());
            writeEndpoints(trace, views.mergedEndpoints());
            trace.end();
        }
        assertEquals(trace.digest(), digest);
    }

    @Test
    public void joinedStatusesAreUnchanged() {
        Trace trace = Trace.named("statuses");
        Random random = new Random(1);
        for (int i = 0; i < 300; i++) {
            Endpoint firstEndpoint = randomEndpoint(random, 3);
            Endpoint secondEndpoint = randomEndpoint(random, 3);
            EndpointStatus joined = firstEndpoint.status().join(secondEndpoint.status());
            writeEndpoint(trace, firstEndpoint);
            writeEndpoint(trace, secondEndpoint.withStatus(joined));
            trace.number(Integer.signum(firstEndpoint.compareTo(secondEndpoint))).end();
        }
        assertEquals(trace.digest(), "0fc2460214ac3ef79cb577907689e9e1c8c40e497e34ca72bda9d4ea49d28685");
    }

    // ---- guard against mass removal

    @DataProvider
    public Object[][] guards() {
        return new Object[][] {
            {0.25, 30 * SECOND_NANOS, "3078c0fc5bba9d385031db56a8c5ee1127ae2115dc2f759467e4471a9f1385d3"},
            {0.5, 4 * SECOND_NANOS, "8b50627b5f336082f35b9c804d9c6590f399ab242673fb5018b40675dcad5e58"},
            {0.0, 2 * SECOND_NANOS, "668c0ad0c4997aebe06a3c90a2fbc76870747d20d20a6362925de730a96d248c"},
            {1.0, 10 * SECOND_NANOS, "ac345aeb6ff32ac9c176ca370108bc5441fc368793412b4b9ce4407184395438"},
        };
    }

    @Test(dataProvider = "guards")
    public void filteredRemovalsAreUnchanged(double maxRemovedFraction, long retentionNanos, String digest) {
        Trace trace = Trace.named("guard-" + maxRemovedFraction);
        Random random = new Random((long) (maxRemovedFraction * 8));
        MassRemovalGuard guard = new MassRemovalGuard(maxRemovedFraction, retentionNanos);
        SortedMap<String, Endpoint> reportedEndpoints = new TreeMap<>();
        long now = 0;
        for (int step = 0; step < 4_000; step++) {
            now += random.nextInt(4) * SECOND_NANOS;
            changeReportedEndpoints(random, reportedEndpoints);
            MassRemovalGuard.FilteredEndpoints filtered = guard.filter(now, reportedEndpoints);
            trace.number(now);
            writeEndpoints(trace, filtered.endpoints());
            trace.part('h');
            filtered.retained().forEach(trace::text);
            trace.end();
        }
        assertEquals(trace.digest(), digest);
    }

    private static void changeReportedEndpoints(Random random,
                                                SortedMap<String, Endpoint> reportedEndpoints) {
        if (random.nextInt(15) == 0) {
            reportedEndpoints.clear();
        } else if (random.nextInt(6) == 0) {
            reportedEndpoints.values().removeIf(endpoint -> random.nextInt(3) == 0);
        } else if (random.nextInt(3) > 0) {
            reportedEndpoints.putAll(byUid(randomEndpoints(random, 12, 1 + random.nextInt(8))));
        }
    }

    // ---- snapshots

    @DataProvider
    public Object[][] histories() {
        return new Object[][] {
            {1, "0ce0fef83160659201952e713421295ed112265372476b39a7cf897146953d15"},
            {4, "7c4808096b5a85f25e14248123785ae89a44ea827c2aaec846dd811d74c9c701"},
            {20, "d5cefaface87de91efc37b06bf0e1c2a5fbab8a321be0f61906ac3b5b24f4817"},
        };
    }

    @Test(dataProvider = "histories")
    public void recordedSnapshotsAreUnchanged(int capacity, String digest) {
        Trace trace = Trace.named("history-" + capacity);
        Random random = new Random(capacity);
        SnapshotHistory history = new SnapshotHistory(capacity);
        SortedMap<String, Endpoint> endpoints = new TreeMap<>();
        SortedMap<String, String> policy = new TreeMap<>();
        for (int step = 0; step < 1_000; step++) {
            changeReportedEndpoints(random, endpoints);
            if (random.nextInt(4) == 0) {
                policy = randomPolicy(random);
            }
            writeSnapshot(trace, history.record(step, "cause " + step, endpoints, policy));
            long number = history.latest().orElseThrow().number() - random.nextInt(capacity + 3);
            trace.part('q').flag(history.find(number).isPresent());
            if (random.nextInt(5) == 0) {
                history.rollBackPolicy(step, number).ifPresent(snapshot -> writeSnapshot(trace, snapshot));
            }
            writeHistory(trace, history);
        }
        assertEquals(trace.digest(), digest);
    }

    private static void writeSnapshot(Trace trace, Snapshot snapshot) {
        trace.part('s').number(snapshot.number()).text(snapshot.version()).number(snapshot.createdAtMillis())
            .text(snapshot.cause());
        writeEndpoints(trace, snapshot.endpoints());
        snapshot.policy().forEach((key, value) -> trace.text(key).text(value));
    }

    private static void writeHistory(Trace trace, SnapshotHistory history) {
        Snapshot latest = history.latest().orElseThrow();
        for (Snapshot snapshot : history.all()) {
            trace.number(snapshot.number());
            latest.differencesFrom(snapshot).forEach(trace::text);
        }
        trace.end();
    }

    // ---- rollouts

    @DataProvider
    public Object[][] rollouts() {
        return new Object[][] {
            {"v1", 0.97, 0.97, "086484dbdb567688dc7a4ec2403fc4b2d057dc2591002a73eaff6ec79f02c7d8"},
            {"v2", 0.97, 0.96, "a3935efd98ddc4190761c95bf90050d59b5ec7436eb36e9a00b5599684814a4a"},
            {"v3", 0.97, 0.90, "ddc7ea19e2517c921e5dba03c643e73249e7a52f9f8ce6c27dfdbed4075dc4b2"},
            {"v4", 0.40, 0.38, "87817bed251383232b5a2a9438f44784d941dfe75570e9515c5ed653b5d16db9"},
            {"v5", 0.90, 0.99, "07dd2446a5536ff184319b1c34c53881d276a41f07a49865396f8b2ff0ab1cca"},
        };
    }

    /** The canary, which has the new policy, has another success rate than the baseline. */
    @Test(dataProvider = "rollouts")
    public void rolloutProgressIsUnchanged(String version, double baselineRate, double canaryRate,
                                           String digest) {
        Trace trace = Trace.named("rollout-" + version);
        Random random = new Random(version.hashCode());
        for (int run = 0; run < 20; run++) {
            Rollout rollout = new Rollout(0, version + run, new double[] {0.05, 0.3, 0.7, 1},
                10 * SECOND_NANOS,
                400, 0.005);
            for (int second = 1; second <= 60; second++) {
                report(trace, random, rollout, baselineRate, canaryRate);
                trace.number(rollout.evaluate(second * SECOND_NANOS).ordinal())
                    .real(rollout.includedFraction())
                    .end();
            }
        }
        assertEquals(trace.digest(), digest);
    }

    private static void report(Trace trace, Random random, Rollout rollout, double baselineRate,
                               double canaryRate) {
        for (int proxy = 0; proxy < 40; proxy++) {
            String name = "proxy-" + proxy;
            boolean isIncluded = rollout.includes(name);
            trace.flag(isIncluded);
            int requests = random.nextInt(40);
            int served = 0;
            for (int request = 0; request < requests; request++) {
                served += random.nextDouble() < (isIncluded ? canaryRate : baselineRate) ? 1 : 0;
            }
            rollout.onReport(name, served, requests);
        }
    }

    /** Reports all request counts around the minimum, and all failure rates around the margin. */
    @Test
    public void rolloutDecisionsAtBoundsAreUnchanged() {
        Trace trace = Trace.named("rollout-bounds");
        for (int requests = 95; requests <= 105; requests++) {
            for (long served = requests - 15L; served <= requests; served++) {
                for (double margin : new double[] {0, 0.01, 0.05}) {
                    evaluateAtBounds(trace, requests, served, margin);
                }
            }
        }
        assertEquals(trace.digest(), "e789a8387ff35653725683b634a7902283f51a00a3955de2d01bc6febc0c3e5a");
    }

    private static void evaluateAtBounds(Trace trace, int requests, long served, double margin) {
        Rollout rollout = new Rollout(0, "v", new double[] {0.5, 1}, 5 * SECOND_NANOS, 100, margin);
        for (int proxy = 0; proxy < 2; proxy++) {
            String name = proxyInGroup(rollout, proxy == 0);
            rollout.onReport(name, proxy == 0 ? served : requests, requests);
        }
        for (long now = 4 * SECOND_NANOS; now <= 6 * SECOND_NANOS; now += SECOND_NANOS) {
            trace.number(rollout.evaluate(now).ordinal()).real(rollout.includedFraction());
        }
        trace.end();
    }

    private static String proxyInGroup(Rollout rollout, boolean isInCanary) {
        int proxy = 0;
        while (rollout.includes("p" + proxy) != isInCanary) {
            proxy++;
        }
        return "p" + proxy;
    }

    // ---- xDS subscriptions

    @Test
    public void responsesToRequestsAreUnchanged() {
        Trace trace = Trace.named("subscription");
        Random random = new Random(1);
        XdsSubscription subscription = new XdsSubscription();
        String nonce = "";
        for (int step = 0; step < 6_000; step++) {
            if (random.nextInt(80) == 0) {
                subscription = new XdsSubscription();
                nonce = "";
            }
            String version = random.nextInt(9) == 0 ? "" : "v" + (step / 40 + random.nextInt(3));
            XdsSubscription.Response sent;
            if (random.nextInt(3) == 0) {
                trace.part('n').text(version);
                sent = subscription.onNewVersion(version).orElse(null);
            } else {
                String error = random.nextInt(4) == 0 ? "a fault" : null;
                String answeredNonce = random.nextInt(8) == 0 ? "7" : nonce;
                boolean resourcesChanged = random.nextInt(6) == 0;
                trace.part('r').text(version).text(answeredNonce).text(error).flag(resourcesChanged);
                sent = subscription.onRequest(version, answeredNonce, error, resourcesChanged).orElse(null);
            }
            if (sent != null) {
                nonce = sent.nonce();
                trace.part('>').text(sent.version()).text(sent.nonce());
            }
            trace.text(subscription.acknowledgedVersion()).text(subscription.rejectedVersion())
                .flag(subscription.isUpToDate())
                .end();
        }
        assertEquals(trace.digest(), "006810eaf9b0618b3f6ae9c3616666567468ba22657b906e638f473689c9747b");
    }
}
