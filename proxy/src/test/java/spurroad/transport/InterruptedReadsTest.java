package spurroad.transport;

import static org.testng.Assert.assertEquals;

import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * However many reads in a row a signal interrupts, the result is that of the first one that is not
 * interrupted. Otherwise a request could be written to a connection that has ended, and be lost.
 */
public class InterruptedReadsTest {
    private static final int INTERRUPTED = -3;
    private static final int END_OF_STREAM = -1;

    /** A channel whose first reads are interrupted; later ones return the given result. */
    private static final class InterruptedChannel implements ReadableByteChannel {
        private final int result;
        private int interruptionsLeft;

        private InterruptedChannel(int interruptions, int result) {
            interruptionsLeft = interruptions;
            this.result = result;
        }

        @Override
        public int read(ByteBuffer buffer) {
            return interruptionsLeft-- > 0 ? INTERRUPTED : result;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void close() {}
    }

    @DataProvider
    Object[][] interruptions() {
        return new Object[][] {{0}, {1}, {8}, {9}, {100}};
    }

    @Test(dataProvider = "interruptions")
    public void returnsTheResultBehindInterruptions(int interruptions) throws Exception {
        for (int result : new int[] {END_OF_STREAM, 0, 1}) {
            InterruptedChannel channel = new InterruptedChannel(interruptions, result);
            assertEquals(InterruptedReads.readRetrying(channel, ByteBuffer.allocate(1)), result);
        }
    }
}
