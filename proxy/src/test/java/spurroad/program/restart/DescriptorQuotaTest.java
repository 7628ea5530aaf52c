package spurroad.program.restart;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the division of descriptors between processes; all numbers are descriptor counts. */
public class DescriptorQuotaTest {
    private static final int TOTAL = 200;
    private static final int RESERVED = 40;
    private static final int MIN = 24;
    private static final int HEADROOM = 16;

    private static List<LiveProcess> othersWith(int... descriptors) {
        return Arrays.stream(descriptors).mapToObj(count -> new ProcessState(1, 1, false, count, Set.of()))
            .map(state -> new LiveProcess(state.descriptors(), Optional.of(state))).toList();
    }

    private static int limit(UpgradeRole role, int inUse, List<LiveProcess> others) {
        DescriptorQuota quota = new DescriptorQuota(TOTAL, RESERVED);
        quota.update(role, others, inUse);
        return quota.limit();
    }

    @DataProvider
    Object[][] limits() {
        return new Object[][] {
            {UpgradeRole.ALONE, 190, othersWith(), TOTAL},
            {UpgradeRole.SUCCESSOR_NOT_READY, 0, othersWith(40), (TOTAL - RESERVED) * 3 / 4},
            {UpgradeRole.SUCCESSOR_SERVING, 150, othersWith(40), (TOTAL - RESERVED) / 2},
            {UpgradeRole.SHUTTING_DOWN, 20, othersWith(40), 20 + HEADROOM},
            {UpgradeRole.SHUTTING_DOWN, 150, othersWith(40), (TOTAL - RESERVED) * 3 / 4},
            {UpgradeRole.NEWEST, 0, othersWith(100), TOTAL - RESERVED - 100},
            {UpgradeRole.NEWEST, 0, othersWith(30, 20), TOTAL - 2 * RESERVED - 50},
            {UpgradeRole.SUCCESSOR_SERVING, 0, othersWith(30, 20), (TOTAL - 2 * RESERVED) / 2}};
    }

    @Test(dataProvider = "limits")
    public void limitDependsOnRole(UpgradeRole role, int inUse, List<LiveProcess> others,
                                   int limit) {
        assertEquals(limit(role, inUse, others), limit);
    }

    @Test
    public void processWithoutReadableStateClaimsOnlyReservedDescriptors() {
        List<LiveProcess> others = List.of(new LiveProcess(7, Optional.empty()));
        assertEquals(limit(UpgradeRole.NEWEST, 0, others), TOTAL - RESERVED - MIN);
    }

    @DataProvider
    Object[][] roles() {
        return Arrays.stream(UpgradeRole.values()).map(role -> new Object[] {role}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "roles")
    public void everyProcessKeepsMinimum(UpgradeRole role) {
        assertTrue(limit(role, 0, othersWith(TOTAL, TOTAL, TOTAL, TOTAL)) >= MIN);
    }

    @Test
    public void newestProcessLeavesMinimumToAnother() {
        assertEquals(limit(UpgradeRole.NEWEST, 0, othersWith(0)), TOTAL - RESERVED - MIN);
    }

    @Test
    public void claimsDescriptorsInUseWhenOverLimit() {
        DescriptorQuota quota = new DescriptorQuota(TOTAL, RESERVED);
        quota.update(UpgradeRole.SUCCESSOR_SERVING, othersWith(40), 150);
        assertEquals(quota.claimed(150), 150);
        assertEquals(quota.claimed(30), quota.limit());
    }

    /** Checks each number of descriptors in use by an older process that shuts down beside a successor. */
    @Test
    public void olderAndNewestProcessTogetherStayWithinTotal() {
        for (int inUse = 0; inUse <= TOTAL - RESERVED - MIN; inUse++) {
            DescriptorQuota older = new DescriptorQuota(TOTAL, RESERVED);
            older.update(UpgradeRole.SHUTTING_DOWN, othersWith(0), inUse);
            int claimed = older.claimed(inUse);
            int newest = limit(UpgradeRole.NEWEST, 0, othersWith(claimed));
            assertTrue(claimed + newest <= TOTAL - RESERVED, "in use " + inUse);
        }
    }
}
