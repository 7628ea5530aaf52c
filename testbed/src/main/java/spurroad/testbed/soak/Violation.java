package spurroad.testbed.soak;

/**
 * One violation of an invariant.
 *
 * @param invariant the invariant that did not hold
 * @param atMs when it was noticed, in milliseconds from the start of the run
 * @param about what happened, with all that was observed of the request
 */
public record Violation(Invariant invariant, long atMs, String about) {
    @Override
    public String toString() {
        return invariant + " at " + atMs + " ms: " + about;
    }
}
