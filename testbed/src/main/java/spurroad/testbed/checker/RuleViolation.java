package spurroad.testbed.checker;

import java.util.List;

/**
 * One violation of a rule.
 *
 * @param rule the rule that was violated
 * @param atNs when it was noticed, in nanoseconds on the environment's timeline
 * @param about the id of the attempt, or the uid of the cache node
 * @param what what happened, as a phrase without a full stop
 * @param story the event history of the attempt's request, one line for each event; empty for a node
 */
public record RuleViolation(Rule rule, long atNs, String about, String what, List<String> story) {}
