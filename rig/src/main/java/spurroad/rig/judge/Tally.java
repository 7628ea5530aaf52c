package spurroad.rig.judge;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import spurroad.rig.model.Ask;
import spurroad.rig.model.Population;
import spurroad.rig.scenario.Scenario;

/**
 * What became of queries: by second of when they fell due, by track and by customer, with latency from when
 * they were due. What falls due before the counted time is left out of all but the seconds.
 */
public final class Tally implements Population.Book {
    private static final long MOST_US = 600_000_000L; // us; a latency above ten minutes counts as that
    private static final int DIGITS = 3;

    /** Queries of one kind, and their worth. */
    public static final class Count {
        public long due, inTime, late, rejected, failed, unanswered;
        /** By the importance of their tracks. */
        public double worthDue, worthGot;

        private void due(Ask a) {
            due++;
            worthDue += a.track.importance();
        }

        private void ended(Ask a, Ask.End end) {
            switch (end) {
                case IN_TIME -> inTime++;
                case LATE -> late++;
                case REJECTED -> rejected++;
                case FAILED -> failed++;
                case UNANSWERED -> unanswered++;
            }
            worthGot += end == Ask.End.IN_TIME ? a.track.importance()
                : end == Ask.End.LATE ? a.track.importance() * a.track.late() : 0;
        }

        /** The part of the worth that was had, from 0 to 1; 1 where nothing fell due. */
        public double goodput() {
            return worthDue == 0 ? 1 : worthGot / worthDue;
        }
    }

    private final long warmNs;
    private final List<Count> seconds = new ArrayList<>();
    private final List<Histogram> latencies = new ArrayList<>(); // by second
    private final Map<String, Count> tracks = new LinkedHashMap<>(), customers = new LinkedHashMap<>();
    private final Count all = new Count();
    private final Histogram latencyUs = new Histogram(MOST_US, DIGITS);
    private final Histogram lateUs = new Histogram(MOST_US, DIGITS);

    public Tally(Scenario scenario) {
        warmNs = scenario.warmNs();
        scenario.load().tracks().forEach(t -> tracks.put(t.name(), new Count()));
        scenario.load().customers().forEach(c -> customers.put(c.name(), new Count()));
    }

    @Override
    public void due(Ask ask) {
        second(ask.due).due(ask);
        if (ask.due >= warmNs) {
            all.due(ask);
            tracks.get(ask.track.name()).due(ask);
            customers.get(ask.customer.name()).due(ask);
        }
    }

    private Count second(long due) {
        int s = (int) (due / 1_000_000_000L);
        while (seconds.size() <= s) {
            seconds.add(new Count());
            latencies.add(new Histogram(MOST_US, 2));
        }
        return seconds.get(s);
    }

    @Override
    public void ended(Ask ask, Ask.End end, long at) {
        second(ask.due).ended(ask, end);
        long us = Math.min(MOST_US, Math.max(0, at - ask.due) / 1000);
        boolean served = end == Ask.End.IN_TIME || end == Ask.End.LATE;
        if (served) {
            latencies.get((int) (ask.due / 1_000_000_000L)).recordValue(us);
        }
        if (ask.due >= warmNs) {
            all.ended(ask, end);
            tracks.get(ask.track.name()).ended(ask, end);
            customers.get(ask.customer.name()).ended(ask, end);
            if (served) {
                latencyUs.recordValue(us);
            }
        }
    }

    @Override
    public void late(Ask ask, long ns) {
        if (ask.due >= warmNs) {
            lateUs.recordValue(Math.min(MOST_US, Math.max(0, ns / 1000)));
        }
    }

    public Count all() {
        return all;
    }

    public Map<String, Count> tracks() {
        return tracks;
    }

    public Map<String, Count> customers() {
        return customers;
    }

    /** By second of when they fell due, from the beginning of the load. */
    public List<Count> seconds() {
        return seconds;
    }

    /** Latency of what fell due in a second, in microseconds. */
    public Histogram latencyUs(int second) {
        return latencies.get(second);
    }

    /** Of served queries, from when they were due, in microseconds. */
    public Histogram latencyUs() {
        return latencyUs;
    }

    /** How late the rig itself was, in microseconds. */
    public Histogram lateUs() {
        return lateUs;
    }
}
