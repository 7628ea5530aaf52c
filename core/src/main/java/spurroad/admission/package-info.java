/**
 * Decides which requests a proxy admits by its own resources: its CPU share, its memory and its queueing
 * delay.
 *
 * <p>{@link spurroad.admission.AdmissionPolicy} decides on each request,
 * {@link spurroad.admission.ServiceLevels} selects the service level, and
 * {@link spurroad.admission.EvictionPriority} determines which client connection is closed when descriptors
 * are scarce. Nothing in this package performs I/O or reads a clock. Not thread-safe; callers use one thread
 * at a time.
 */
package spurroad.admission;
