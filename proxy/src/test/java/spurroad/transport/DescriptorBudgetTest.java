package spurroad.transport;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** The division of descriptors between clients and endpoints. */
public class DescriptorBudgetTest {
    @Test
    public void neitherClientsNorEndpointsCanTakeAllDescriptors() {
        DescriptorBudget budget = new DescriptorBudget(2 + 8 + 6);
        for (int i = 0; i < 5; i++) {
            assertEquals(budget.tryAcquireForEndpoint(), i < 3, "half of six");
        }
        for (int i = 0; i < 5; i++) {
            assertEquals(budget.tryAcquireForClient(), i < 3, "the other half");
        }
        budget.releaseFromEndpoint();
        assertEquals(
            List.of(budget.tryAcquireForClient(), budget.tryAcquireForClient(),
                budget.tryAcquireForEndpoint()),
            List.of(true, false, false));
        for (int i = 0; i < 4; i++) {
            budget.releaseFromClient();
        }
        budget.releaseFromEndpoint();
        budget.releaseFromEndpoint();
        for (int i = 0; i < 5; i++) {
            assertEquals(budget.tryAcquireForClient(), i < 4, "two thirds of six");
        }
        assertEquals(
            List.of(budget.tryAcquireForEndpoint(), budget.tryAcquireForEndpoint(),
                budget.tryAcquireForEndpoint()),
            List.of(true, true, false));
    }

    @Test
    public void grantsNoPermitAfterShrinkUntilEnoughAreReleased() {
        DescriptorBudget budget = new DescriptorBudget(2 + 8 + 6);
        for (int i = 0; i < 3; i++) {
            assertEquals(budget.tryAcquireForEndpoint(), true, "half of six");
        }
        budget.resize(2 + 8 + 4);
        assertEquals(budget.inUse(), 2 + 8 + 3);
        assertEquals(List.of(budget.availableForClients(), budget.availableForEndpoints()), List.of(1, -1));
        budget.releaseFromEndpoint();
        assertEquals(budget.tryAcquireForEndpoint(), false, "two of two are in use");
        budget.releaseFromEndpoint();
        assertEquals(budget.tryAcquireForEndpoint(), true, "one of two is in use");
    }

    @Test
    public void takesOverflowPermitsFromSeparateReserve() {
        DescriptorBudget budget = new DescriptorBudget(2 + 8 + 6);
        Listener.ConnectionPermits permits = budget.clientPermits();
        for (int i = 0; i < 8; i++) {
            assertEquals(permits.tryAcquireOverflow(), true);
        }
        assertEquals(permits.tryAcquireOverflow(), false);
        assertEquals(budget.availableForClients(), 4);
        permits.release(true);
        assertEquals(permits.tryAcquireOverflow(), true);
    }
}
