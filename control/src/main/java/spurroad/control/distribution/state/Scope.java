package spurroad.control.distribution.state;

/**
 * The part of the configuration that a subscriber uses: resources for all regions and those of its own
 * region.
 *
 * @param region the region of the subscriber; null for the complete configuration
 */
public record Scope(String region) {
    /** The complete configuration. */
    public static final Scope ALL = new Scope(null);

    /** Returns whether a resource belongs to this scope. */
    public boolean includes(ResourceKey key) {
        return region == null || key.region().equals(ResourceKey.EVERYWHERE)
            || key.region().equals(region);
    }

    /** Returns whether this scope includes all resources of another one. */
    public boolean covers(Scope other) {
        return region == null || region.equals(other.region);
    }
}
