package spurroad.testbed.soak;

/**
 * One fault of a run.
 *
 * @param kind what goes wrong
 * @param target the number of the proxy or cache node that is affected; 0 where there is only one
 * @param fromMs when the fault starts, in milliseconds from the start of the run
 * @param untilMs when it ends, likewise
 * @param detail a number from 0 to 1 by which the kind chooses among its variants
 */
record Fault(FaultKind kind, int target, long fromMs, long untilMs, double detail) {
    long durationMs() {
        return untilMs - fromMs;
    }

    @Override
    public String toString() {
        return fromMs + " to " + untilMs + " ms: " + kind + " " + target + " ("
            + String.format("%.3f", detail) + ")";
    }
}
