package spurroad.balancer.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class UpdateBudgetTest {
    private static final long INTERVAL_NANOS = UpdateBudget.MIN_INTERVAL_NANOS;
    private static final int PROXIES = 100;

    @Test
    public void limitsUpdatesToEarnedCredit() {
        UpdateBudget budget = new UpdateBudget(0, -1);
        int sent = 0;
        int attempts = 1000;
        for (int i = 0; i < attempts; i++) {
            budget.earn(UpdateBudget.CREDIT_PER_ATTEMPT);
            sent += budget.trySpend(i, PROXIES) ? 1 : 0;
        }
        assertTrue(sent > 0 && sent * PROXIES <= attempts * UpdateBudget.CREDIT_PER_ATTEMPT, sent + " sent");
    }

    @Test
    public void enforcesMinimumIntervalBetweenUpdates() {
        UpdateBudget budget = new UpdateBudget(Double.MAX_VALUE, INTERVAL_NANOS);
        assertTrue(budget.trySpend(2 * INTERVAL_NANOS, PROXIES));
        budget.earn(PROXIES);
        assertFalse(budget.trySpend(3 * INTERVAL_NANOS, PROXIES));
        assertTrue(budget.trySpend(3 * INTERVAL_NANOS + 1, PROXIES), "the budget is retained until then");
    }

    @Test
    public void spendsAllCreditWithOneUpdate() {
        UpdateBudget budget = new UpdateBudget(5 * PROXIES, -1);
        assertTrue(budget.trySpend(1, PROXIES));
        assertEquals(budget.trySpend(2, 1), false);
    }
}
