package spurroad.testbed.model;

import java.util.function.IntSupplier;

/**
 * The load that a cache node reports: a sample of its executions in flight, taken anew once it is too old.
 */
final class NodeLoadReport {
    /** Far enough in the past for any age, without overflow in a difference. */
    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private final long maxAgeNanos;
    private final IntSupplier currentInFlight;
    private long sampledAtNanos = LONG_AGO;
    private int sample;

    NodeLoadReport(long maxAgeNanos, IntSupplier currentInFlight) {
        this.maxAgeNanos = maxAgeNanos;
        this.currentInFlight = currentInFlight;
    }

    int inFlight(long nowNanos) {
        if (nowNanos - sampledAtNanos >= maxAgeNanos) {
            sampledAtNanos = nowNanos;
            sample = currentInFlight.getAsInt();
        }
        return sample;
    }
}
