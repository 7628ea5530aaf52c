package spurroad.model;

/** What a proxy decides by for one track; times in nanoseconds. */
public record Track(Effect effect, DedupScope dedupScope, long dedupWindowNs, long sloNs,
                    double sloStretch, double importance, double lateShare) {}
