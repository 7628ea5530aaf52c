package spurroad.model;

/**
 * The mixing function of SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators",
 * 2014), which maps similar numbers to very different ones.
 */
public final class SplitMix64 {
    /** The increment of the generator: an odd number close to 2^64 divided by the golden ratio. */
    public static final long GAMMA = 0x9e3779b97f4a7c15L;

    private SplitMix64() {}

    /** Returns the mixed bits of a number. The mapping is bijective and maps 0 to 0. */
    public static long mix(long x) {
        long z = (x ^ x >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
