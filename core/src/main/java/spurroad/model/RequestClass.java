package spurroad.model;

/**
 * The settings that apply to the requests of one class.
 *
 * @param effect whether a request may run more than once
 * @param deduplicationScope which endpoints recognise a repeat, with {@link Effect#DEDUPLICATED}
 * @param deduplicationWindowNanos how long endpoints recognise a repeat, in nanoseconds
 * @param latencyObjectiveNanos time within which a response is wanted, in nanoseconds
 * @param latencyObjectiveStretch multiple of a request's own cost by which its latency objective is extended
 * @param priorityWeight weight of a request answered in time, relative to other classes
 * @param lateValueFraction fraction of that weight, from 0 to 1, that a later response is worth
 */
public record RequestClass(Effect effect, DeduplicationScope deduplicationScope,
                           long deduplicationWindowNanos, long latencyObjectiveNanos,
                           double latencyObjectiveStretch, double priorityWeight,
                           double lateValueFraction) {}
