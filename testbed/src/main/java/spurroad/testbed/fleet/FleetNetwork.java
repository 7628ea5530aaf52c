package spurroad.testbed.fleet;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.BiPredicate;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.codec.MalformedMessageException;
import spurroad.control.distribution.codec.MessageCodec;
import spurroad.control.distribution.message.Message;
import spurroad.testbed.time.SimulatedTimeline;

/**
 * Carries messages between hosts in simulated time and counts their bytes on the wire. Delays follow from the
 * regions' positions on a globe; one message in a thousand is late by a retransmission. Messages are passed
 * as objects, so that thousands of hosts fit into one process; sampled hosts decode their bytes as well.
 */
final class FleetNetwork {
    static final long MILLISECOND = 1_000_000;
    static final long SECOND = 1_000 * MILLISECOND;
    static final int FRAME_BYTES = 4; // length before a message
    static final int HEADER_BYTES = 52; // of TCP and IP with timestamps, a segment
    static final int SEGMENT_BYTES = 1_448;

    private static final long SITE_DELAY_NANOS = MILLISECOND / 5;
    private static final long REGION_DELAY_NANOS = MILLISECOND;
    private static final long NEAREST_REGION_DELAY_NANOS = 5 * MILLISECOND;
    private static final long FARTHEST_REGION_DELAY_NANOS = 150 * MILLISECOND;
    private static final double JITTER = 0.2;
    private static final double RETRANSMISSION_PROBABILITY = 0.001;
    private static final long RETRANSMISSION_DELAY_NANOS = 250 * MILLISECOND;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final SimulatedTimeline timeline;
    private final Random random;
    private final Map<ProcessId, Host> hosts = new HashMap<>();
    private final double[][] positions; // of regions, on the unit sphere
    private BiPredicate<Host, Host> isReachable = (from, to) -> true;

    FleetNetwork(SimulatedTimeline timeline, int regions, long seed) {
        this.timeline = timeline;
        random = new Random(seed);
        positions = new double[regions][];
        for (int i = 0; i < regions; i++) {
            positions[i] = randomPosition();
        }
    }

    private double[] randomPosition() {
        double[] position = {random.nextGaussian(), random.nextGaussian(), random.nextGaussian()};
        double length = Math
            .sqrt(position[0] * position[0] + position[1] * position[1] + position[2] * position[2]);
        for (int i = 0; i < position.length; i++) {
            position[i] /= length;
        }
        return position;
    }

    void add(Host host) {
        hosts.put(host.id, host);
    }

    Host host(ProcessId id) {
        return hosts.get(id);
    }

    /** Sets which hosts reach which others, from sender to receiver; messages already sent still arrive. */
    void setReachability(BiPredicate<Host, Host> reachability) {
        isReachable = reachability;
    }

    /** Begins to call a host whose participant has just been set. */
    void onStart(Host host) {
        host.wakeAt = Long.MAX_VALUE;
        scheduleWake(host);
    }

    private void send(Host from, ProcessId target, Message message) {
        Host to = hosts.get(target);
        int bytes = wireBytes(MessageCodec.encode(message).length);
        from.traffic.bytesOut += bytes;
        from.traffic.messagesOut++;
        if (!isReachable.test(from, to)) {
            return;
        }
        timeline.after(delay(from, to), () -> arrive(from, to, message, bytes));
    }

    private static int wireBytes(int messageBytes) {
        int framed = messageBytes + FRAME_BYTES;
        int segments = (framed + SEGMENT_BYTES - 1) / SEGMENT_BYTES;
        return framed + segments * HEADER_BYTES;
    }

    private long delay(Host from, Host to) {
        double delay = meanDelay(from, to) * (1 + JITTER * random.nextDouble());
        if (random.nextDouble() < RETRANSMISSION_PROBABILITY) {
            delay += RETRANSMISSION_DELAY_NANOS;
        }
        return (long) delay;
    }

    private long meanDelay(Host from, Host to) {
        if (from.region != to.region) {
            double cosine = 0;
            for (int i = 0; i < 3; i++) {
                cosine += positions[from.region][i] * positions[to.region][i];
            }
            double angle = Math.acos(Math.max(-1, Math.min(1, cosine))) / Math.PI; // 1 for the antipode
            return NEAREST_REGION_DELAY_NANOS
                + (long) (angle * (FARTHEST_REGION_DELAY_NANOS - NEAREST_REGION_DELAY_NANOS));
        }
        return from.site >= 0 && from.site == to.site ? SITE_DELAY_NANOS : REGION_DELAY_NANOS;
    }

    private void arrive(Host from, Host to, Message message, int bytes) {
        if (!to.isUp()) {
            return;
        }
        to.traffic.bytesIn += bytes;
        to.traffic.messagesIn++;
        if (to.readInterval == 0) {
            receive(from, to, message);
            return;
        }
        to.readAt = Math.max(timeline.now(), to.readAt) + to.readInterval;
        timeline.at(to.readAt, () -> {
            if (to.isUp()) {
                receive(from, to, message);
            }
        });
    }

    private void receive(Host from, Host to, Message message) {
        if (to.isSampled) {
            receiveSampled(from, to, message);
        } else {
            to.participant.onMessage(timeline.now(), from.id, message,
                (target, reply) -> send(to, target, reply));
        }
        scheduleWake(to);
    }

    /** With the time for reading the message's bytes and for writing those of what is sent. */
    private void receiveSampled(Host from, Host to, Message message) {
        byte[] bytes = MessageCodec.encode(message);
        long before = threads.getCurrentThreadCpuTime();
        try {
            MessageCodec.decode(bytes);
        } catch (MalformedMessageException malformed) {
            throw new IllegalStateException(malformed);
        }
        to.participant.onMessage(timeline.now(), from.id, message,
            (target, reply) -> send(to, target, reply));
        to.traffic.cpuNanos += threads.getCurrentThreadCpuTime() - before;
    }

    private void scheduleWake(Host host) {
        long next = Math.max(host.participant.nextTimerNanos(), timeline.now() + MILLISECOND / 10);
        if (host.wakeAt <= next) {
            return;
        }
        host.wakeAt = next;
        Object running = host.participant;
        timeline.at(next, () -> {
            if (host.participant == running && host.wakeAt == next) {
                wake(host);
            }
        });
    }

    private void wake(Host host) {
        host.wakeAt = Long.MAX_VALUE;
        long before = host.isSampled ? threads.getCurrentThreadCpuTime() : 0;
        host.participant.onTimer(timeline.now(), (target, message) -> send(host, target, message));
        host.traffic.cpuNanos += host.isSampled ? threads.getCurrentThreadCpuTime() - before : 0;
        scheduleWake(host);
    }
}
