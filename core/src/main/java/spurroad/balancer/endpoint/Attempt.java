package spurroad.balancer.endpoint;

import spurroad.model.CacheKey;
import spurroad.model.RequestClass;
import spurroad.model.RequestId;

/**
 * One attempt of a request at one endpoint, with the length of the endpoint's queue when the attempt was
 * sent. Its state only advances: in flight, then possibly with its cancellation requested, then ended.
 */
public final class Attempt {
    private enum State { IN_FLIGHT, CANCELLATION_REQUESTED, ENDED }

    private final RequestId requestId;
    private final int number;
    private final RequestClass requestClass;
    private final CacheKey key;
    private final boolean write;
    private final EndpointState endpoint;
    private final LoadSource loadSource;
    private final double queueLength;
    private final long sentNanos;
    private State state = State.IN_FLIGHT;

    /**
     * Creates an attempt that is sent now, with the queue length that the endpoint's load estimate gives.
     *
     * @param number index of the attempt among those of its request, from 0
     */
    public Attempt(RequestId requestId, int number, RequestClass requestClass, CacheKey key, boolean write,
                   EndpointState endpoint, long now) {
        this.requestId = requestId;
        this.number = number;
        this.requestClass = requestClass;
        this.key = key;
        this.write = write;
        this.endpoint = endpoint;
        loadSource = endpoint.load().source(now);
        queueLength = endpoint.queueLength(now);
        sentNanos = now;
    }

    /** Returns the id of the request that this attempt belongs to. */
    public RequestId requestId() {
        return requestId;
    }

    /** Returns the index of this attempt among those of its request, from 0. */
    public int number() {
        return number;
    }

    /** Returns the class of the request. */
    public RequestClass requestClass() {
        return requestClass;
    }

    /** Returns the cache key of the request. */
    public CacheKey key() {
        return key;
    }

    /** Returns whether the request is a write. */
    public boolean isWrite() {
        return write;
    }

    /** Returns the endpoint to which this attempt was sent. */
    public EndpointState endpoint() {
        return endpoint;
    }

    /** Returns the source of the queue length. */
    public LoadSource loadSource() {
        return loadSource;
    }

    /**
     * Returns the length of the endpoint's queue when this attempt was sent, in requests, without this
     * attempt.
     */
    public double queueLength() {
        return queueLength;
    }

    /** Returns when this attempt was sent, in nanoseconds. */
    public long sentNanos() {
        return sentNanos;
    }

    /** Returns whether this attempt has not ended yet, even if its cancellation has been requested. */
    public boolean isInFlight() {
        return state != State.ENDED;
    }

    /** Returns whether this attempt is in flight and its cancellation has been requested. */
    public boolean isCancellationRequested() {
        return state == State.CANCELLATION_REQUESTED;
    }

    /**
     * Requests cancellation if this attempt is in flight and has no such request yet, and returns whether
     * that was the case.
     */
    public boolean requestCancellation() {
        boolean wasInFlight = state == State.IN_FLIGHT;
        state = wasInFlight ? State.CANCELLATION_REQUESTED : state;
        return wasInFlight;
    }

    /** Marks this attempt as ended. */
    public void end() {
        state = State.ENDED;
    }
}
