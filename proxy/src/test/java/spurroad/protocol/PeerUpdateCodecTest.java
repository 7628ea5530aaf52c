package spurroad.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.model.CacheKey;
import spurroad.model.PeerUpdate;
import spurroad.model.PeerUpdate.Topic;

/** Lengths of encoded peer updates, and rejection of invalid values. */
public class PeerUpdateCodecTest {
    @DataProvider
    Object[][] updates() {
        CacheKey key = new CacheKey(Long.MIN_VALUE + 7);
        return new Object[][] {{new PeerUpdate(Topic.IN_FLIGHT, Long.MIN_VALUE, 1, key), 21},
            {new PeerUpdate(Topic.IN_FLIGHT, 5, -0.25, key), 21},
            {new PeerUpdate(Topic.IN_FLIGHT, 5, 0.25, key), 21},
            {new PeerUpdate(Topic.CACHE_QUERY, 5, 419, key), 21},
            {new PeerUpdate(Topic.CACHE_STATUS, 5, 12.5, 35_000_000, 0, key), 29},
            {new PeerUpdate(Topic.CACHE_STATUS, 5, 0, 0, 1, key), 29}, {PeerUpdate.ofOriginWrite(true), 13},
            {new PeerUpdate(Topic.ORIGIN_ADMISSION, 0, 0.25), 13},
            {new PeerUpdate(Topic.LOAD, 1L << 47, 12.5, 35_000_000, 0.25), 21},
            {new PeerUpdate(Topic.TENANT_REQUEST, 3, 1), 13},
            {new PeerUpdate(Topic.OVER_QUOTA, 0, 0.5), 13}};
    }

    @Test(dataProvider = "updates")
    public void decodesEncodedUpdateAndRejectsOtherLengths(PeerUpdate update, int length)
        throws ProtocolException {
        byte[] message = PeerUpdateCodec.encode(update);
        assertEquals(message.length, length);
        assertEquals(PeerUpdateCodec.decode(message), update);
        for (int partLength = 0; partLength < message.length; partLength++) {
            byte[] part = Arrays.copyOf(message, partLength);
            assertThrows(ProtocolException.class, () -> PeerUpdateCodec.decode(part));
        }
        assertThrows(ProtocolException.class,
            () -> PeerUpdateCodec.decode(Arrays.copyOf(message, message.length + 1)));
    }

    @DataProvider
    Object[][] invalidValues() {
        return new Object[][] {{0, 0f, 1f}, {0, 2f, 1f}, {0, -1.5f, 1f}, {0, Float.NaN, 1f}, {1, -1f, 1f},
            {1, Float.POSITIVE_INFINITY, 1f}, {1, 2e6f, 1f}, {1, 5f, 0f}, {1, 5f, 1.01f}, {1, 5f, -0.5f},
            {1, 5f, Float.NaN},
            {2, 0f, 1f}, {2, 7f, 1f}, {3, 1.5f, 1f}, {3, -0.1f, 1f}, {4, 0.5f, 1f}, {5, 1.5f, 1f},
            {5, -0.1f, 1f},
            {6, -1f, 1f}, {6, 1.5f, 1f}, {6, 2e6f, 1f}, {7, -1f, 1f}, {7, 2e6f, 0f}, {7, 5f, 0.5f},
            {7, 5f, Float.NaN}, {8, 1f, 1f}, {-1, 1f, 1f}};
    }

    @Test(dataProvider = "invalidValues")
    public void rejectsInvalidValues(int topic, float value, float cachedFraction) {
        boolean hasKey = topic == 0 || topic == 6 || topic == 7;
        boolean hasQueue = topic == 1 || topic == 7;
        ByteBuffer bytes = ByteBuffer.allocate(13 + (hasQueue ? 8 : 0) + (hasKey ? 8 : 0)).put((byte) topic)
            .putLong(1).putFloat(value);
        byte[] message = (hasQueue ? bytes.putInt(1000).putFloat(cachedFraction) : bytes).array();
        assertThrows(ProtocolException.class, () -> PeerUpdateCodec.decode(message));
    }
}
