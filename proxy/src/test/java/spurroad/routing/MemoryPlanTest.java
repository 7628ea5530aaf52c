package spurroad.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.protocol.MetaCommand;

public class MemoryPlanTest {
    private static final long MIB = 1 << 20;
    /** What the virtual machine reports for -Xmx44m -Xmn24m: one survivor space is not counted. */
    private static final long DEPLOYED_HEAP_BYTES = 43_646_976;
    private static final int MAX_OPEN_REQUESTS = 20_000;

    @DataProvider
    Object[][] limits() {
        return new Object[][] {{96, 363, 10}, {128, 675, 10}, {192, 974, 10}, {192, 974, 200}, {256, 974, 10},
            {192, 974, 1_024}, {96, 363, 3_200}, {128, 675, 3_200}, {192, 974, 3_200}, {256, 974, 3_200}};
    }

    /** Guards against budgets that together, and with what no budget counts, exceed the heap. */
    @Test(dataProvider = "limits")
    public void fitsIntoHeap(int memoryMb, int connections, int endpoints) {
        MemoryPlan.Limits limits = new MemoryPlan.Limits(memoryMb, DEPLOYED_HEAP_BYTES, MAX_OPEN_REQUESTS,
            connections, endpoints);
        MemoryPlan plan = MemoryPlan.of(limits);
        assertTrue(plan.totalBytes() + MemoryPlan.unplannedBytes(limits) <= DEPLOYED_HEAP_BYTES,
            plan + " beside " + MemoryPlan.unplannedBytes(limits));
        assertTrue(plan.uploadBytes() >= MetaCommand.MAX_VALUE_BYTES, plan.toString());
        assertTrue(plan.replyBytes() >= MetaCommand.MAX_VALUE_BYTES, plan.toString());
        assertTrue(plan.requestBytes() >= 4 * MIB, plan.toString());
    }

    @Test
    public void followsMemoryLimitInLargeHeap() {
        MemoryPlan plan = MemoryPlan.of(new MemoryPlan.Limits(192, 1_024 * MIB, MAX_OPEN_REQUESTS, 974, 200));
        assertEquals(plan, new MemoryPlan(24 * MIB, 12 * MIB, 6 * MIB, 12 * MIB));
    }
}
