package spurroad.balancer.request;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.Fleet;

public class RetryBudgetTest {
    private static RetryBudget newBudget(boolean gossipEnabled) {
        return new RetryBudget(RequestFixture.activeDeployment(0, new Fleet(null, 0, 4, gossipEnabled)));
    }

    private static int withdrawAll(RetryBudget budget) {
        int retries = 0;
        while (budget.tryWithdraw()) {
            retries++;
        }
        return retries;
    }

    /** Whether gossip is enabled, the number of requests, and the number of retries allowed after them. */
    @DataProvider
    Object[][] budgets() {
        return new Object[][] {{false, 0, 5}, {false, 1000, 5}, {true, 0, 0}, {true, 21, 1}, {true, 1000, 1}};
    }

    @Test(dataProvider = "budgets")
    public void limitsAccumulatedRetries(boolean gossipEnabled, int requests, int expectedRetries) {
        RetryBudget budget = newBudget(gossipEnabled);
        for (int i = 0; i < requests; i++) {
            budget.onRequest();
        }
        assertEquals(withdrawAll(budget), expectedRetries);
    }

    @Test
    public void earnsOneRetryPerFiveRequests() {
        RetryBudget budget = newBudget(false);
        withdrawAll(budget);
        int earned = 0;
        for (int i = 0; i < 100; i++) {
            budget.onRequest();
            earned += budget.tryWithdraw() ? 1 : 0;
        }
        assertEquals(earned, 100 / 5, 1);
    }

    @Test
    public void earnsNoRetriesWhileFrozen() {
        RetryBudget budget = newBudget(false);
        withdrawAll(budget);
        budget.setFrozen(true);
        for (int i = 0; i < 100; i++) {
            budget.onRequest();
        }
        assertEquals(withdrawAll(budget), 0);
    }
}
