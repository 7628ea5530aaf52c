package spurroad.model;

import java.util.List;

/**
 * What a proxy is told at its start, in the project's words. The module turns it into the few figures it
 * decides by and keeps none of it.
 *
 * @param allowancePerS queries a second over all proxies within each customer's share
 * @param originKind    the kind of the origin's list entry, or null where nodes fetch for themselves
 * @param mustAsk       whether the list is heard only by a proxy that asks for it
 */
public record Deployment(List<Track> tracks, List<Double> allowancePerS, int proxies, ZoneId zone,
                         KindId originKind, boolean mustAsk, boolean probes,
                         boolean cancels, boolean secondCopies, boolean comeBack, long maxComeBackNs,
                         int mostExecutions, double startCapacity, long coldNs, long fallNs,
                         long tickNs) { }
