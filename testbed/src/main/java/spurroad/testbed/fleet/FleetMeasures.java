package spurroad.testbed.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;
import spurroad.control.distribution.log.Command;
import spurroad.control.distribution.state.ConfigurationEntry;

/**
 * Measures the time from the first proposal of a change or a purge until it takes effect at each proxy. In a
 * region that is cut off, proposals of that time count from the end of the cut, apart from the others.
 */
final class FleetMeasures {
    private static final long MAX_LATENCY_MILLIS = 3_600_000;

    final Histogram changes = new Histogram(MAX_LATENCY_MILLIS, 3);
    final Histogram purges = new Histogram(MAX_LATENCY_MILLIS, 3);
    final Histogram changesAfterCut = new Histogram(MAX_LATENCY_MILLIS, 3);
    final Histogram purgesAfterCut = new Histogram(MAX_LATENCY_MILLIS, 3);
    final Histogram starts = new Histogram(MAX_LATENCY_MILLIS, 3); // from the start until the state is known

    private final Map<Object, Long> proposedAt = new HashMap<>(); // by identity
    private final Map<Long, Long> changeProposedAt = new HashMap<>(); // by the first sequence number
    private final Set<Object> accepted = new HashSet<>();
    private final List<Long> purgeNumbers = new ArrayList<>(); // accepted by then
    private final List<Long> purgeProposedAt = new ArrayList<>();
    private final List<Long> purgeAcceptedAt = new ArrayList<>();
    private long acceptedIndex;
    private long sequence;
    private long purgeNumber;
    private long measurementStart = Long.MAX_VALUE;
    private int cutRegion = -1;
    private long cutStart = Long.MAX_VALUE;
    private long cutEnd = Long.MAX_VALUE;
    long resets;

    /** A map key that compares its value by identity. */
    private record Identity(Object value) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Identity identity && identity.value == value;
        }

        @Override
        public int hashCode() {
            return System.identityHashCode(value);
        }
    }

    void measureFrom(long now) {
        measurementStart = now;
    }

    void cut(int region, long from, long until) {
        cutRegion = region;
        cutStart = from;
        cutEnd = until;
    }

    private static Object identity(Command command) {
        return new Identity(command instanceof Command.ConfigurationChange change ? change.value()
            : ((Command.Purge) command).hashes());
    }

    void proposed(Command command, long now) {
        proposedAt.putIfAbsent(identity(command), now);
    }

    /** Returns whether the core has accepted a proposed command. */
    boolean isAccepted(Command command) {
        return accepted.contains(identity(command));
    }

    /** Records that a replica has applied a command; the first replica to do so counts. */
    void accepted(long index, Command command, long now) {
        if (index <= acceptedIndex) {
            return;
        }
        acceptedIndex = index;
        if (command instanceof Command.ConfigurationChange) {
            sequence++;
            if (accepted.add(identity(command))) {
                changeProposedAt.put(sequence, proposedAt.get(identity(command)));
            }
        } else if (command instanceof Command.Purge purge) {
            purgeNumber += purge.hashes().length;
            if (accepted.add(identity(command))) {
                purgeNumbers.add(purgeNumber);
                purgeProposedAt.add(proposedAt.get(identity(command)));
                purgeAcceptedAt.add(now);
            }
        }
    }

    long acceptedSequence() {
        return sequence;
    }

    long acceptedPurges() {
        return purgeNumber;
    }

    /** Returns the number of the latest purge that was accepted at a time or earlier. */
    long purgesAcceptedBy(long time) {
        for (int i = purgeAcceptedAt.size() - 1; i >= 0; i--) {
            if (purgeAcceptedAt.get(i) <= time) {
                return purgeNumbers.get(i);
            }
        }
        return 0;
    }

    void changed(Host host, ConfigurationEntry entry, long now) {
        Long proposed = changeProposedAt.get(entry.sequence());
        if (proposed != null) {
            record(host, proposed, now, changes, changesAfterCut);
        }
    }

    void purged(Host host, long upTo, long now) {
        while (host.nextPurge < purgeNumbers.size() && purgeNumbers.get(host.nextPurge) <= upTo) {
            record(host, purgeProposedAt.get(host.nextPurge), now, purges, purgesAfterCut);
            host.nextPurge++;
        }
    }

    void purgesReset(Host host, long upTo) {
        boolean hadPurges = host.nextPurge > 0;
        while (host.nextPurge < purgeNumbers.size() && purgeNumbers.get(host.nextPurge) <= upTo) {
            host.nextPurge++;
        }
        resets += hadPurges ? 1 : 0;
    }

    private void record(Host host, long proposed, long now, Histogram usual, Histogram afterCut) {
        if (proposed < measurementStart || proposed < host.startedAt) {
            return;
        }
        boolean isAffectedByCut = host.region == cutRegion && now >= cutStart && proposed < cutEnd;
        if (isAffectedByCut && now >= cutEnd) {
            afterCut.recordValue(millis(now - cutEnd));
        } else {
            usual.recordValue(millis(now - proposed));
        }
    }

    void hasState(Host host, long now) {
        if (host.startedAt >= measurementStart) {
            starts.recordValue(millis(now - host.startedAt));
        }
    }

    private static long millis(long nanos) {
        return Math.min(MAX_LATENCY_MILLIS, nanos / FleetNetwork.MILLISECOND);
    }
}
