package spurroad.control.distribution.support;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.codec.MalformedMessageException;
import spurroad.control.distribution.codec.MessageCodec;
import spurroad.control.distribution.message.Message;
import spurroad.control.distribution.message.Participant;

/**
 * Delivers encoded messages in simulated time, and loses, duplicates, delays and reorders them at random,
 * determined by a seed. Times are nanoseconds.
 */
public final class SimulatedNetwork {
    public static final long NANOS_PER_MILLISECOND = DistributionSettings.NANOS_PER_MILLISECOND;
    public static final long NANOS_PER_SECOND = DistributionSettings.NANOS_PER_SECOND;

    private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atNanos != other.atNanos ? Long.compare(atNanos, other.atNanos)
                : Long.compare(order, other.order);
        }
    }

    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<ProcessId, Participant> processes = new HashMap<>();
    private final Map<ProcessId, Long> timerNanos = new HashMap<>();
    private final Set<ProcessId> stopped = new HashSet<>();
    private long nowNanos = NANOS_PER_SECOND;
    private long order;
    private long minDelayNanos = NANOS_PER_MILLISECOND;
    private long maxDelayNanos = 20 * NANOS_PER_MILLISECOND;
    private double lossProbability;
    private double duplicationProbability;
    private BiPredicate<ProcessId, ProcessId> linkFilter = (from, to) -> true;
    private long sentCount;

    /** Creates a network without processes, which loses no messages. */
    public SimulatedNetwork(long seed) {
        random = new Random(seed);
    }

    public long now() {
        return nowNanos;
    }

    long sentCount() {
        return sentCount;
    }

    /** Sets the range of delays, in nanoseconds. */
    public void setDelays(long minNanos, long maxNanos) {
        minDelayNanos = minNanos;
        maxDelayNanos = maxNanos;
    }

    /** Sets the probabilities of losing and of duplicating a message. */
    public void setFaults(double loss, double duplication) {
        lossProbability = loss;
        duplicationProbability = duplication;
    }

    /**
     * Restricts delivery to messages sent from now on over matching links; messages already in flight are
     * still delivered.
     */
    public void setLinkFilter(BiPredicate<ProcessId, ProcessId> matchingLinks) {
        linkFilter = matchingLinks;
    }

    /** Starts a process, replacing an earlier process with the same id. */
    public void add(ProcessId id, Participant process) {
        processes.put(id, process);
        stopped.remove(id);
        timerNanos.remove(id);
        scheduleTimer(id);
    }

    /** Stops a process; messages to it are lost. */
    public void stop(ProcessId id) {
        stopped.add(id);
        processes.remove(id);
        timerNanos.remove(id);
    }

    void schedule(long atNanos, Runnable action) {
        events.add(new Event(Math.max(atNanos, nowNanos), order++, action));
    }

    /** Runs for a duration in nanoseconds. */
    public void run(long durationNanos) {
        long untilNanos = nowNanos + durationNanos;
        while (!events.isEmpty() && events.peek().atNanos() <= untilNanos) {
            Event next = events.poll();
            nowNanos = next.atNanos();
            next.action().run();
        }
        nowNanos = untilNanos;
    }

    /** Sends a message from one process to another. */
    public void send(ProcessId from, ProcessId to, Message message) {
        sentCount++;
        byte[] bytes = MessageCodec.encode(message);
        if (stopped.contains(from) || !linkFilter.test(from, to) || random.nextDouble() < lossProbability) {
            return;
        }
        deliver(from, to, bytes);
        if (random.nextDouble() < duplicationProbability) {
            deliver(from, to, bytes);
        }
    }

    private void deliver(ProcessId from, ProcessId to, byte[] bytes) {
        long delayNanos = minDelayNanos + (long) (random.nextDouble() * (maxDelayNanos - minDelayNanos));
        schedule(nowNanos + delayNanos, () -> {
            Participant process = processes.get(to);
            if (process != null) {
                process.onMessage(nowNanos, from, decode(bytes), (target, reply) -> send(to, target, reply));
                scheduleTimer(to);
            }
        });
    }

    private static Message decode(byte[] bytes) {
        try {
            return MessageCodec.decode(bytes);
        } catch (MalformedMessageException malformed) {
            throw new AssertionError(malformed);
        }
    }

    private void scheduleTimer(ProcessId id) {
        Participant process = processes.get(id);
        long next = Math.max(process.nextTimerNanos(), nowNanos + NANOS_PER_MILLISECOND / 10);
        if (next == Long.MAX_VALUE || timerNanos.getOrDefault(id, Long.MAX_VALUE) <= next) {
            return;
        }
        timerNanos.put(id, next);
        schedule(next, () -> {
            if (processes.get(id) != process || timerNanos.getOrDefault(id, -1L) != next) {
                return;
            }
            timerNanos.remove(id);
            process.onTimer(nowNanos, (target, reply) -> send(id, target, reply));
            scheduleTimer(id);
        });
    }
}
