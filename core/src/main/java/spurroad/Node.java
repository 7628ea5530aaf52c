package spurroad;

import java.util.ArrayList;
import java.util.List;
import spurroad.model.NodeEntry;
import spurroad.model.Phase;

/** What one proxy holds of a listed node. */
final class Node {
    NodeEntry entry;
    boolean banned; // by hand
    long backNs; // when staff gave it back; zero where they did not
    double reported = Double.NaN;
    long reportedAt = Long.MIN_VALUE / 2;
    long lastAnswerAt, probeFailedAt, asideUntil, pause;
    int sentSince, trickle, trickleLeft, trickleGood;
    boolean probing, proven = true;
    final List<Exec> out = new ArrayList<>();
    // times of completed queries over the figures they met, by whether those were the stand-in or reported
    final Fading[] pace;
    Fading bad;
    final Fading asked; // queries whose key falls to it, sent or not
    double part = 1; // of the ring

    Node(NodeEntry entry, long memoryNs, long longMemoryNs, long pause) {
        this.entry = entry;
        this.pause = pause;
        pace = new Fading[] {new Fading(memoryNs), new Fading(memoryNs)};
        asked = new Fading(longMemoryNs);
        bad = new Fading(memoryNs);
    }

    /** What it may be used for: of what the list and staff say, the strictest. */
    Phase phase() {
        return banned && entry.phase() == Phase.READY ? Phase.DRAINING : entry.phase();
    }

    /** Since when it warms up; zero for long ago. */
    long startedNs() {
        return Math.max(entry.startedNs(), backNs);
    }

    void report(double figure, long now) {
        reported = figure;
        reportedAt = now;
        sentSince = 0;
    }
}
