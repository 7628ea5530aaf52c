package spurroad.balancer;

import static spurroad.balancer.BalancerFixture.READ;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import spurroad.model.Decisions;
import spurroad.model.DeduplicationScope;
import spurroad.model.Fleet;
import spurroad.model.Outcome;
import spurroad.model.ZoneId;

/** Proxies with the same endpoints that exchange updates. */
final class GossipFixture {
    static final int PROXIES = 4;
    static final int ENDPOINTS = 8;

    private GossipFixture() {}

    /** Determines how often each update is delivered. */
    enum Delivery {
        DELIVERED(1), LOST(0), DUPLICATED(2);

        private final int copies;

        Delivery(int copies) {
            this.copies = copies;
        }
    }

    static List<BalancerFixture> fleet(ZoneId zone) {
        List<BalancerFixture> fixtures = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            BalancerFixture fixture = new BalancerFixture(false, DeduplicationScope.ALL, 7 + i,
                new Fleet(zone, i, PROXIES, true));
            fixture.updateEndpoints(true, BalancerFixture.endpoints(ENDPOINTS, false));
            fixtures.add(fixture);
        }
        return fixtures;
    }

    /** Delivers the updates that a proxy has just decided to send, and those that are sent in return. */
    static void deliver(List<BalancerFixture> fixtures, BalancerFixture sender, Delivery delivery) {
        for (Decisions.SendPeerUpdate sent : List.copyOf(sender.decisions.peerUpdates)) {
            for (int i = 0; i < fixtures.size(); i++) {
                BalancerFixture recipient = fixtures.get(i);
                boolean isRecipient = sent.recipient() == i || sent.recipient() == Decisions.ALL_PEERS;
                for (int copy = 0; recipient != sender && isRecipient && copy < delivery.copies; copy++) {
                    recipient.receive(sent.update());
                    deliver(fixtures, recipient, Delivery.DELIVERED);
                }
            }
        }
    }

    /** Advances the clocks of all proxies by the same time, without calling their timers. */
    static void advanceClocks(List<BalancerFixture> fixtures, long nanos) {
        fixtures.forEach(fixture -> fixture.nowNanos += nanos);
    }

    /** Returns the index of the proxy that owns an endpoint or tenant. */
    static int ownerOf(long subject) {
        return new Fleet(null, 0, PROXIES, true).owner(subject);
    }

    /** Sends a read, which succeeds immediately; returns its endpoint, or -1 if it was not sent. */
    static long targetOfSuccessfulRead(BalancerFixture fixture, long request, long key) {
        long target = fixture.targetOf(request, READ, key);
        fixture.endAttempt(request, 0, Outcome.SUCCEEDED);
        return target;
    }

    /** Returns the keys whose first candidate is the given endpoint. */
    static long[] keysOf(long endpoint) {
        BalancerFixture fixture = BalancerFixture.of(ENDPOINTS, false);
        return IntStream.range(1, 400).filter(key -> targetOfSuccessfulRead(fixture, key, key) == endpoint)
            .asLongStream().toArray();
    }
}
