package spurroad.admission;

/**
 * What the proxy itself had and used over the last interval; not its nodes.
 *
 * @param processor used part of its share of a core, from 0; NaN where it is not known. Slightly over 1 is
 *     possible
 * @param ageNs how long queries waited here for the module, on average, in nanoseconds
 * @param room used part of the memory for queries and answers under way, from 0 to 1
 */
public record ResourceUsage(double processor, long ageNs, double room) {
    /** How much of the scarcest of the three is used; 1 is all that can be had. */
    double used(long mostAgeNs) {
        double known = Double.isNaN(processor) ? 0 : processor;
        return Math.max(Math.max(known, room), (double) ageNs / mostAgeNs);
    }
}
