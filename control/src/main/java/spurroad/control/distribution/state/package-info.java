/**
 * The state of one process of the distribution: the configuration as numbered changes
 * ({@link spurroad.control.distribution.state.ConfigurationState}), the purges
 * ({@link spurroad.control.distribution.state.PurgeLog}), the time up to which both are complete
 * ({@link spurroad.control.distribution.state.Freshness}), and the updates that advance them.
 *
 * <p>Invariants: sequence numbers of changes and numbers of purges are the same at every process, and a state
 * never regresses. A lost, duplicated or reordered update therefore never changes what was applied, and gaps
 * are always detected.
 *
 * <p>The package performs no I/O and reads no clock. Only immutable classes are thread-safe; arrays of values
 * and hashes are shared and must not be modified.
 */
package spurroad.control.distribution.state;
