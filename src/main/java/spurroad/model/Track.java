package spurroad.model;

/** What the start settings say of one track; times in nanoseconds. */
public record Track(Effect effect, DedupScope dedupScope, long dedupWindowNs, long sloNs, long timeoutNs,
                    double sloStretch, double importance, double lateShare) { }
