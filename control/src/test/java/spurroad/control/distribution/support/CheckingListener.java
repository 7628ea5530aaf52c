package spurroad.control.distribution.support;

import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import spurroad.control.distribution.state.ConfigurationEntry;
import spurroad.control.distribution.state.PurgeBatch;
import spurroad.control.distribution.state.ResourceKey;
import spurroad.control.distribution.state.StateListener;

/**
 * Records the changes and purges that take effect at one process; fails if one takes effect twice or out of
 * order.
 */
public final class CheckingListener implements StateListener {
    public final Map<ResourceKey, Long> sequences = new HashMap<>();
    public long purgeNumber;
    public long purgeCount;
    public int resetCount;

    @Override
    public void onConfigurationChange(ConfigurationEntry entry) {
        Long previousSequence = sequences.put(entry.key(), entry.sequence());
        assertTrue(previousSequence == null || previousSequence < entry.sequence(),
            entry.key() + ": sequence " + entry.sequence() + " after "
                + previousSequence);
    }

    @Override
    public void onPurges(PurgeBatch batch, long fromNumber) {
        assertTrue(fromNumber == purgeNumber,
            "purges after number " + fromNumber + ", expected after " + purgeNumber
                + ", the last number");
        assertTrue(batch.fromNumber() <= fromNumber && batch.toNumber() > fromNumber);
        purgeCount += batch.toNumber() - fromNumber;
        purgeNumber = batch.toNumber();
    }

    @Override
    public void onPurgeReset(long toNumber) {
        assertTrue(toNumber >= purgeNumber, "reset to " + toNumber + " after " + purgeNumber);
        purgeNumber = toNumber;
        resetCount++;
    }
}
