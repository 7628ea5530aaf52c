package spurroad.model;

/**
 * What one proxy says to another of a node or a customer: a hint that ages, and that may be lost, doubled or
 * false.
 *
 * @param value by topic: a change, a figure, or a share
 * @param paceNs time per query in the figure, with {@link Topic#QUEUE} and {@link Topic#KEPT} only
 * @param kept share of its keys that the node keeps, with {@link Topic#QUEUE} and {@link Topic#KEPT} only
 * @param key with {@link Topic#HELD}, {@link Topic#ASK} and {@link Topic#KEPT} only
 */
public record Word(Topic topic, long subject, double value, long paceNs, double kept, CacheKey key) {
    /** One without a pace, a share or a key. */
    public Word(Topic topic, long subject, double value) {
        this(topic, subject, value, 0, 1, CacheKey.NONE);
    }

    /** One about a key. */
    public Word(Topic topic, long subject, double value, CacheKey key) {
        this(topic, subject, value, 0, 1, key);
    }

    /** One with the figures of a node. */
    public Word(Topic topic, long subject, double value, long paceNs, double kept) {
        this(topic, subject, value, paceNs, kept, CacheKey.NONE);
    }

    /** What the origin's keeper hears. */
    public static Word written(boolean late) {
        return new Word(Topic.WRITTEN, 0, late ? 1 : 0);
    }

    /** What it is about. */
    public enum Topic {
        /**
         * To a node's keeper: an execution began there (1), or ended well (minus what is left of its weight)
         * or badly (what is left). The key is that of a write as it begins, and of a read as it ends.
         */
        HELD,
        /**
         * From a node's keeper to all: its queue figure over all proxies, and which share of its keys it
         * keeps.
         */
        QUEUE,
        /** To a customer's keeper: a query of it came in. */
        ASKED,
        /** From a customer's keeper to all: the share of its queries that is beyond its own share. */
        BEYOND,
        /** To the origin's keeper, where nodes fetch: a write ended in time (0), or late or badly (1). */
        WRITTEN,
        /** From the origin's keeper to all: the share of what goes to the origin that is to go. */
        ORIGIN,
        /** To a node's keeper, from the proxy of that number: whether the node keeps a key. */
        ASK,
        /**
         * The keeper's answer: as {@link #QUEUE}, but for the share: 1 where the node keeps the key, else 0.
         */
        KEPT
    }
}
