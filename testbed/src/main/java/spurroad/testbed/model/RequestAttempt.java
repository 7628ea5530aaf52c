package spurroad.testbed.model;

import spurroad.testbed.time.Timeline;

/** One attempt at a client request. To a proxy it is a request of its own, with an id of its own. */
public final class RequestAttempt {
    /** The id on the wire; unique in a run. */
    public final String id;
    /** The request that this is an attempt at. */
    public final ClientRequest request;
    /** Counts the attempts at the request from 1. */
    public final int number;
    /** The proxy that the attempt is sent to. */
    public final int proxy;
    /** The attempt's deadline, in nanoseconds on the timeline. */
    public final long until;
    boolean ended;
    Timeline.Alarm deadlineAlarm;

    RequestAttempt(String id, ClientRequest request, int number, int proxy, long until) {
        this.id = id;
        this.request = request;
        this.number = number;
        this.proxy = proxy;
        this.until = until;
    }

    /** Returns whether the client has stopped waiting for a response to this attempt. */
    public boolean isOver() {
        return ended;
    }

    @Override
    public String toString() {
        return id;
    }
}
