package spurroad.rig.model;

import java.util.List;
import java.util.function.ToDoubleFunction;
import spurroad.model.Effect;
import spurroad.rig.scenario.Scenario;
import spurroad.rig.scenario.Scenario.Clients;
import spurroad.rig.scenario.Scenario.Load;
import spurroad.rig.time.Timeline;

/**
 * All clients: queries fall due at a rate, whatever became of those before (open loop), and each is asked for
 * until it is served, may not be asked again, or its client's patience is over. It knows nothing of how tries
 * reach a proxy. One thread only, that of its timeline.
 */
public final class Population {
    /** What carries tries to proxies. */
    public interface Gateway {
        /** The proxy that the next try goes to. */
        int choose();

        /** Sends it, as soon as that can be. */
        void send(Try t);

        /** The client waits no longer: takes the try back, by closing its connection if it has been sent. */
        void leave(Try t);
    }

    /** Who is told what becomes of queries. */
    public interface Book {
        void due(Ask ask);

        void ended(Ask ask, Ask.End end, long at);

        /** The work of sending it came so much after it fell due: the rig's own lateness. */
        void late(Ask ask, long ns);
    }

    private static final long SPREAD_NS = 100_000_000L; // ns; mean pause of those who spread their retries

    private final Load load;
    private final Clients clients;
    private final Timeline timeline;
    private final Gateway gateway;
    private final Book book;
    private final Chance arrivals, what;
    private final Popularity popularity;
    private double times = 1;
    private long number, nextAt, until;

    public Population(Scenario scenario, long seed, Timeline timeline, Gateway gateway, Book book) {
        load = scenario.load();
        clients = load.clients();
        this.timeline = timeline;
        this.gateway = gateway;
        this.book = book;
        arrivals = new Chance(seed, "arrivals");
        what = new Chance(seed, "queries");
        popularity = new Popularity(load, new Chance(seed, "keys"));
    }

    /** Queries fall due from now on until a time. */
    public void begin(long untilNs) {
        until = untilNs;
        nextAt = timeline.now();
        next();
    }

    private void next() {
        nextAt += arrivals.time(1e9 / (load.perSecond() * times), 1);
        if (nextAt < until) {
            timeline.at(nextAt, this::due);
        }
    }

    private void due() {
        Scenario.Track track = drawn(load.tracks(), Scenario.Track::part);
        Scenario.Customer customer = drawn(load.customers(), Scenario.Customer::part);
        String mark = track.effect() == Effect.DEDUPLICATED ? "m" + Long.toHexString(number) : "";
        Ask ask = new Ask(number++, nextAt, track, customer, popularity.key(nextAt), mark);
        book.due(ask);
        book.late(ask, timeline.now() - nextAt);
        next();
        ask(ask);
    }

    private <T> T drawn(List<T> of, ToDoubleFunction<T> part) {
        double left = what.part();
        for (T t : of) {
            left -= part.applyAsDouble(t);
            if (left < 0) {
                return t;
            }
        }
        return of.get(of.size() - 1);
    }

    private void ask(Ask ask) {
        long now = timeline.now();
        long patience = ask.due + clients.patienceNs();
        if (ask.over || now >= patience) {
            end(ask, Ask.End.UNANSWERED);
            return;
        }
        int n = ++ask.tries;
        Try t = new Try("q" + Long.toHexString(ask.number) + "." + n, ask, n, gateway.choose(),
            Math.min(patience, now + ask.track.timeoutNs()));
        t.timeOver = timeline.at(t.until, () -> timeOver(t));
        gateway.send(t);
    }

    private void timeOver(Try t) {
        if (!t.over) {
            t.over = true;
            gateway.leave(t);
            again(t, Ask.End.UNANSWERED, t.ask.track.effect() == Effect.IDEMPOTENT, 0);
        }
    }

    private static void over(Try t) {
        t.over = true;
        t.timeOver.cancel();
    }

    /** Told by the gateway: the one answer that counts. */
    public void answered(Try t, Answer answer) {
        if (t.over) {
            return;
        }
        over(t);
        long now = timeline.now();
        switch (answer.kind()) {
            case VALUE, RECEIPT ->
                end(t.ask, now - t.ask.due <= t.ask.track.sloNs() ? Ask.End.IN_TIME : Ask.End.LATE);
            case REJECTED -> again(t, Ask.End.REJECTED, true, answer.comeBackNs());
            case FAILED -> again(t, Ask.End.FAILED, t.ask.track.effect() == Effect.IDEMPOTENT, 0);
        }
    }

    /**
     * Told by the gateway: the connection ended without an answer. Whether the proxy had taken it is not
     * known.
     */
    public void broken(Try t, boolean sent) {
        if (!t.over) {
            over(t);
            again(t, Ask.End.FAILED, !sent || t.ask.track.effect() == Effect.IDEMPOTENT, 0);
        }
    }

    private void again(Try t, Ask.End otherwise, boolean may, long comeBackNs) {
        Ask ask = t.ask;
        if (!may || ask.tries >= clients.tries() || timeline.now() >= ask.due + clients.patienceNs()) {
            end(ask, otherwise);
            return;
        }
        long pause = switch (clients.retry()) {
            case AT_ONCE -> 0;
            case AS_TOLD -> comeBackNs;
            case SPREAD -> what.time(SPREAD_NS, 1);
        };
        if (timeline.now() + pause >= ask.due + clients.patienceNs()) {
            end(ask, otherwise);
        } else {
            timeline.after(pause, () -> ask(ask));
        }
    }

    private void end(Ask ask, Ask.End end) {
        if (!ask.over) {
            ask.over = true;
            book.ended(ask, end, timeline.now());
        }
    }

    /** Queries come at so many times their rate. */
    public void times(double factor) {
        times = Math.max(1e-3, factor);
    }

    /** A part of all queries asks for one key. */
    public void hot(double part) {
        popularity.hot(part);
    }
}
