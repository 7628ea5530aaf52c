package spurroad.testbed.checker;

/** What the checker has seen of one client request over all its attempts. */
final class TrackedRequest {
    final EventHistory history = new EventHistory();
    private int effects;
    private int trackedAttempts;

    /** Counts an effect of the request's write; returns how often the write has taken effect so far. */
    int addEffect() {
        return ++effects;
    }

    void attemptStarted() {
        trackedAttempts++;
    }

    /** Returns whether the forgotten attempt was the last one that the checker tracked. */
    boolean attemptForgotten() {
        return --trackedAttempts == 0;
    }
}
