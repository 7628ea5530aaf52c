package spurroad.testbed.model;

import spurroad.testbed.scenario.Scenario.Customer;
import spurroad.testbed.scenario.Scenario.Track;

/** One request of a client, over all its attempts. */
public final class ClientRequest {
    /** How a request ended for its client. */
    public enum Outcome {
        /** Served within the latency objective of its class. */
        IN_TIME,
        /** Served after that. */
        LATE,
        /** Its last attempt was rejected. */
        REJECTED,
        /** Its last attempt failed, or lost its connection. */
        FAILED,
        /** Its client stopped waiting. */
        UNANSWERED
    }

    /** Counts requests from 0. */
    public final long number;
    /** When the request was due, in nanoseconds on the timeline; independent of the generator's own lag. */
    public final long due;
    /** The request class. */
    public final Track track;
    /** The tenant. */
    public final Customer customer;
    /** The number of the cache key. */
    public final int key;
    /** The idempotency key, the same for all attempts; empty if the request class has none. */
    public final String mark;
    int attempts;
    boolean ended;

    ClientRequest(long number, long due, Track track, Customer customer, int key, String mark) {
        this.number = number;
        this.due = due;
        this.track = track;
        this.customer = customer;
        this.key = key;
        this.mark = mark;
    }
}
