package spurroad.routing;

import spurroad.transport.GrowthBudget;
import spurroad.transport.MemoryBudget;

/**
 * Memory of what is received of endpoints' replies before it is forwarded.
 *
 * @param values for values that are received completely
 * @param heads for heads that are longer than usual
 */
record ReplyMemory(GrowthBudget values, MemoryBudget heads) {}
