package spurroad.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Reservations up to and beyond the memory budget. */
public class MemoryBudgetTest {
    @Test
    public void reservesBeyondTotalOnlyIfForced() {
        MemoryBudget budget = new MemoryBudget(10_000);
        assertEquals(List.of(budget.tryReserve(8_000), budget.tryReserve(8_000)), List.of(true, false));
        budget.release(8_000);
        assertEquals(budget.tryReserve(8_000), true);
        budget.forceReserve(20_000);
        assertEquals(List.of(budget.isOverdrawn(), budget.tryReserve(1)), List.of(true, false));
        budget.release(20_000);
        assertEquals(List.of(budget.isOverdrawn(), budget.tryReserve(1)), List.of(false, true));
    }

    @Test
    public void grantsNothingWhileReducedBudgetIsExceeded() {
        MemoryBudget budget = new MemoryBudget(10 * 1024);
        assertTrue(budget.tryReserve(8 * 1024));
        budget.resize(4 * 1024);
        assertEquals(budget.usedFraction(), 2.0);
        assertFalse(budget.tryReserve(1));
        budget.release(8 * 1024);
        assertTrue(budget.tryReserve(4 * 1024));
    }
}
