package spurroad;

import spurroad.model.DedupScope;
import spurroad.model.Effect;

/** What decisions need of a track. */
record TrackFigures(Effect effect, DedupScope scope, long windowNs, long sloNs, double sloStretch,
                            double importance, boolean lateCounts, double waitNs) { }
