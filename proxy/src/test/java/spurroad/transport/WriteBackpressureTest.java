package spurroad.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.channels.Pipe;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** The amount that a connection buffers for a peer that reads slowly. */
public class WriteBackpressureTest {
    private static final int MAX_CHUNK_BYTES = 64 * 1024;
    private static final int CHUNK_COUNT = 60;

    /** A sender that writes only to a drained connection has at most one chunk buffered. */
    @Test
    public void buffersAtMostOneChunkIfSenderWaitsForDrain() throws Exception {
        for (long seed = 0; seed < 5; seed++) {
            Random random = new Random(seed);
            EventLog log = new EventLog();
            EventLoop loop = new EventLoop(log, new Clock());
            new Threads(log).start("loop", loop);
            Pipe incoming = Pipe.open();
            Pipe outgoing = Pipe.open();
            AtomicLong maxPendingBytes = new AtomicLong();
            AtomicLong sentBytes = new AtomicLong();
            CountDownLatch allWritten = new CountDownLatch(1);
            Connection connection = new Connection(loop, incoming.source(), outgoing.sink(), () -> {});
            ByteBuffer chunk = ByteBuffer.allocateDirect(MAX_CHUNK_BYTES);
            Connection.Handler handler = new Connection.Handler() {
                private int writtenChunks;

                @Override
                public void onConnected() {}

                @Override
                public void onRead(ByteBuffer bytes) {}

                @Override
                public void onDrained() {
                    while (writtenChunks < CHUNK_COUNT && connection.isDrained()) {
                        writtenChunks++;
                        chunk.clear().limit(1 + random.nextInt(MAX_CHUNK_BYTES));
                        sentBytes.addAndGet(chunk.remaining());
                        connection.write(chunk);
                        maxPendingBytes.accumulateAndGet(connection.pendingBytes(), Math::max);
                    }
                    if (writtenChunks == CHUNK_COUNT) {
                        allWritten.countDown();
                    }
                }

                @Override
                public void onClosed() {}
            };
            loop.execute(() -> {
                connection.open(handler);
                handler.onDrained();
            });
            long receivedBytes = 0;
            ByteBuffer readBuffer = ByteBuffer.allocate(20_000);
            // all may be read before the last chunk is counted: a blocking read would then never return
            outgoing.source().configureBlocking(false);
            while (allWritten.getCount() > 0 || receivedBytes < sentBytes.get()) {
                readBuffer.clear();
                receivedBytes += Math.max(0, outgoing.source().read(readBuffer));
                Thread.sleep(random.nextInt(2));
            }
            assertTrue(allWritten.await(1, TimeUnit.SECONDS));
            assertEquals(receivedBytes, sentBytes.get());
            assertTrue(maxPendingBytes.get() > 0 && maxPendingBytes.get() <= MAX_CHUNK_BYTES,
                "bytes buffered at most: " + maxPendingBytes);
            loop.shutdown();
        }
    }
}
