package spurroad.control.distribution;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Pins the durations and limits that all processes of a fleet share, as no other test covers some of them.
 */
public class DistributionSettingsTest {
    private static final long MILLISECOND_NANOS = 1_000_000;
    private static final DistributionSettings SETTINGS = new DistributionSettings();

    @DataProvider
    public Object[][] settings() {
        return new Object[][] {
            {DistributionSettings.NANOS_PER_MILLISECOND, MILLISECOND_NANOS},
            {DistributionSettings.NANOS_PER_SECOND, 1_000 * MILLISECOND_NANOS},
            {SETTINGS.flushIntervalNanos, 250 * MILLISECOND_NANOS},
            {SETTINGS.parentTimeoutNanos, 1_200 * MILLISECOND_NANOS},
            {SETTINGS.requestTimeoutNanos, 450 * MILLISECOND_NANOS},
            {SETTINGS.detachedTimeoutNanos, 700 * MILLISECOND_NANOS},
            {SETTINGS.resendTimeoutNanos, 1_000 * MILLISECOND_NANOS},
            {SETTINGS.childTimeoutNanos, 5_000 * MILLISECOND_NANOS},
            {SETTINGS.maxUnacknowledgedUpdates, 3},
            {SETTINGS.maxPurgesPerUpdate, 4_096},
            {SETTINGS.maxChildren, 600},
            {SETTINGS.admissionsPerSecond, 200},
            {SETTINGS.admissionBurst, 40},
            {SETTINGS.configurationLogCapacity, 4_096},
            {SETTINGS.usualPurgeLogCapacity, 8_192},
            {SETTINGS.maxPurgeLogCapacity, 2_097_152},
            {SETTINGS.freshnessLeaseNanos, 6_500 * MILLISECOND_NANOS},
            {SETTINGS.leaseDurationNanos, 3_000 * MILLISECOND_NANOS},
            {SETTINGS.leaseIntervalNanos, 1_000 * MILLISECOND_NANOS},
            {SETTINGS.returnIntervalNanos, 10_000 * MILLISECOND_NANOS},
            {SETTINGS.heartbeatIntervalNanos, 100 * MILLISECOND_NANOS},
            {SETTINGS.electionTimeoutNanos, 450 * MILLISECOND_NANOS},
            {SETTINGS.electionStaggerNanos, 100 * MILLISECOND_NANOS},
            {SETTINGS.replicatedLogCapacity, 8_192},
            {SETTINGS.maxEntriesPerAppend, 512},
        };
    }

    @Test(dataProvider = "settings")
    public void valueIsUnchanged(Number setting, Number expected) {
        assertEquals(setting.longValue(), expected.longValue());
    }
}
