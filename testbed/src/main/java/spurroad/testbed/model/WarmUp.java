package spurroad.testbed.model;

import spurroad.testbed.scenario.Scenario.NodeGroup;

/** How far a cache node has warmed up since its start: its speed grows linearly to the full one. */
final class WarmUp {
    /** Far enough in the past for any warm-up, without overflow in a difference. */
    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private final NodeGroup group;
    private long startedAtNanos = LONG_AGO;

    WarmUp(NodeGroup group) {
        this.group = group;
    }

    void restart(long nowNanos) {
        startedAtNanos = nowNanos;
    }

    long startedAtNanos() {
        return startedAtNanos;
    }

    /** Returns the available fraction of the full speed, from the group's start share to 1. */
    double speedFraction(long nowNanos) {
        double progress = group.warmUpNs() == 0 ? 1 : (double) (nowNanos - startedAtNanos) / group.warmUpNs();
        if (progress >= 1) {
            return 1;
        }
        return group.startShare() + (1 - group.startShare()) * Math.max(0, progress);
    }

    boolean isComplete(long nowNanos) {
        return speedFraction(nowNanos) >= 1;
    }
}
