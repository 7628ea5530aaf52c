package spurroad.model;

/**
 * The finisher of SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014):
 * spreads the bits of a number, so that numbers that differ little lie far apart.
 */
public final class SplitMix64 {
    /** What the generator adds from one number to the next: 2^64 over the golden ratio, odd. */
    public static final long GAMMA = 0x9e3779b97f4a7c15L;

    private SplitMix64() {}

    /** One to one; 0 stays 0. */
    public static long finish(long x) {
        long z = (x ^ x >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
