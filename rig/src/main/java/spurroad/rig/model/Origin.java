package spurroad.rig.model;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import spurroad.model.Effect;
import spurroad.rig.scenario.Scenario.Load;
import spurroad.rig.scenario.Scenario.Service;
import spurroad.rig.time.Timeline;

/**
 * The slow origin: reads and writes with servers and a queue of its own. It remembers the marks of
 * deduplicated writes for as long as their track says, and drops repeats. One thread only, that of its
 * timeline.
 */
public final class Origin {
    public static final String UID = "origin";
    private static final long SWEEP_NS = 1_000_000_000L; // ns; between looks for marks that are over

    private final Timeline timeline;
    private final Service service;
    private final Load load;
    private final Ledger ledger;
    private final Witness witness;
    private final Chance chance;
    private final Servers servers;
    private final Map<String, Long> marks = new HashMap<>(); // until when each is remembered
    private long sweptAt;
    private double speed = 1;

    public Origin(Service service, Load load, Timeline timeline, Ledger ledger, Witness witness,
                  Chance chance) {
        this.service = service;
        this.load = load;
        this.timeline = timeline;
        this.ledger = ledger;
        this.witness = witness;
        this.chance = chance;
        servers = new Servers(timeline, service);
    }

    /** Takes an execution whose last byte has come; a write has its effect when it is done. */
    public void offer(Request request, Consumer<Reply> answer) {
        witness.begun(timeline.now(), UID, request);
        boolean taken = servers.offer(new Servers.Work() {
            @Override
            public long begins() {
                return chance.time(service.meanNs() / speed, service.spread());
            }

            @Override
            public void done() {
                Reply reply = request.track().write() ? write(request) : read(request);
                witness.ended(timeline.now(), UID, request, reply);
                answer.accept(reply);
            }
        });
        if (!taken) {
            Reply busy = new Reply(Reply.Kind.BUSY, 0, 0, servers.inFlight(), 0);
            witness.ended(timeline.now(), UID, request, busy);
            answer.accept(busy);
        }
    }

    private Reply read(Request request) {
        ledger.read(request.id(), request.key());
        int bytes = chance.is(load.longPart()) ? load.longBytes() : load.valueBytes();
        return new Reply(Reply.Kind.VALUE, ledger.version(request.key()), bytes, servers.inFlight(), 0);
    }

    private Reply write(Request request) {
        long now = timeline.now();
        if (now - sweptAt > SWEEP_NS) {
            sweptAt = now;
            marks.values().removeIf(until -> until < now);
        }
        boolean marked = request.track().effect() == Effect.DEDUPLICATED;
        Long until = marked ? marks.get(request.mark()) : null;
        if (until == null || until < now) {
            if (marked) {
                marks.put(request.mark(), now + request.track().dedupNs());
            }
            ledger.written(request.key());
            witness.effect(now, request);
        }
        return new Reply(Reply.Kind.RECEIPT, ledger.version(request.key()), 0, servers.inFlight(), 0);
    }

    public int inFlight() {
        return servers.inFlight();
    }

    /** A factor on its speed; 1 as ever. */
    public void speed(double factor) {
        speed = Math.max(1e-3, factor);
    }
}
