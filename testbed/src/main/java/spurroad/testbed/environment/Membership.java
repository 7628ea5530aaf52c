package spurroad.testbed.environment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import spurroad.testbed.scenario.Scenario.NodeGroup;
import spurroad.testbed.time.Timeline;

/**
 * Discovery's endpoint list, of cache nodes and the origin, with a revision for each change. Changes reach
 * subscribers after a delay, or once a fault that delays them ends. Used by the timeline's thread only.
 */
public final class Membership {
    /** A node's state in the list. */
    public enum State { ACTIVE, LEAVING, LEFT }

    /**
     * One node of the list.
     *
     * @param place number of the address; another node may have it later
     * @param startedAt in nanoseconds on the timeline; negative for long ago
     */
    public record Entry(String uid, NodeGroup group, int place, State state, long startedAt, long revision) {}

    private final Timeline timeline;
    private final long delayNanos;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Consumer<Long>> subscribers = new ArrayList<>();
    private long revision = 1;
    private long publishedRevision = 1;
    private boolean isDelayedByFault;

    /** Creates an empty list, whose changes reach subscribers after a delay. */
    public Membership(Timeline timeline, long delayNanos) {
        this.timeline = timeline;
        this.delayNanos = delayNanos;
    }

    /** Adds an entry that is there from the beginning. */
    void begin(String uid, NodeGroup group, int place) {
        entries.put(uid, new Entry(uid, group, place, State.ACTIVE, Long.MIN_VALUE / 2, revision));
    }

    /** Changes a node's entry, or adds it. */
    void change(String uid, NodeGroup group, int place, State state, long startedAt) {
        entries.put(uid, new Entry(uid, group, place, state, startedAt, ++revision));
        publish();
    }

    /** Changes the state of a node whose entry exists. */
    void change(String uid, State state) {
        Entry entry = entry(uid);
        change(uid, entry.group, entry.place, state, entry.startedAt);
    }

    private void publish() {
        timeline.after(delayNanos, () -> {
            if (!isDelayedByFault && publishedRevision < revision) {
                publishedRevision = revision;
                List.copyOf(subscribers).forEach(subscriber -> subscriber.accept(publishedRevision));
            }
        });
    }

    /** Sets whether a fault keeps all changes from subscribers. */
    void late(boolean on) {
        isDelayedByFault = on;
        if (!on) {
            publish();
        }
    }

    /** Adds a subscriber, which receives each new revision once it is published. */
    public void follow(Consumer<Long> subscriber) {
        subscribers.add(subscriber);
    }

    /** Removes a subscriber. */
    public void unfollow(Consumer<Long> subscriber) {
        subscribers.remove(subscriber);
    }

    /** Returns the newest published revision. */
    public long revision() {
        return publishedRevision;
    }

    /** Returns the published entries after a revision, removed nodes included; with 0 all that are there. */
    public List<Entry> since(long after) {
        return entries.values().stream()
            .filter(entry -> entry.revision > after && entry.revision <= publishedRevision)
            .filter(entry -> after > 0 || entry.state != State.LEFT).toList();
    }

    /** Returns the entry of a node that is or was in the list; null for any other. */
    public Entry entry(String uid) {
        return entries.get(uid);
    }

    /** Returns the entries of all nodes that are or were in the list. */
    public Collection<Entry> entries() {
        return entries.values();
    }
}
