package spurroad.transport;

import static org.testng.Assert.assertEquals;

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
}
