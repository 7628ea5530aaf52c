package spurroad.control.distribution.state;

import java.util.Objects;

/**
 * Identifies one resource of the configuration, such as a cache node or a setting.
 *
 * @param region region whose proxies use the resource; {@link #EVERYWHERE} if all proxies use it
 * @param name name that is unique within the region
 */
public record ResourceKey(String region, String name) {
    /** Region of the resources that the proxies of all regions use. */
    public static final String EVERYWHERE = "";

    /** Validates that region and name are not null; both may be empty. */
    public ResourceKey {
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(name, "name");
    }
}
