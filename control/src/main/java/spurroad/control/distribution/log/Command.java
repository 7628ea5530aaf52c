package spurroad.control.distribution.log;

import spurroad.control.distribution.state.ResourceKey;

/**
 * A change of state that the core's replicated log orders. Arrays are not copied and must not be written to.
 */
public sealed interface Command {
    /** Sets a resource, or removes it if the value is null. */
    record ConfigurationChange(ResourceKey key, byte[] value) implements Command {}

    /** Purges the keys with the given 64-bit hashes. */
    record Purge(long[] hashes) implements Command {}

    /** Changes nothing. A leader appends it first, because it commits the entries of earlier terms. */
    record NoOp() implements Command {}
}
