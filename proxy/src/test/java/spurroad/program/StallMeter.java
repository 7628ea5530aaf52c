package spurroad.program;

import spurroad.fixture.ScriptedPeers;

/** Measures the longest time for which the machine, not the proxy, kept a thread from running. */
final class StallMeter implements AutoCloseable {
    private volatile long longestNanos;
    private volatile boolean closed;

    StallMeter() {
        ScriptedPeers.daemon(() -> {
            while (!closed) {
                long since = System.nanoTime();
                Thread.sleep(1);
                longestNanos = Math.max(longestNanos, System.nanoTime() - since);
            }
        });
    }

    long longestNanos() {
        return longestNanos;
    }

    @Override
    public void close() {
        closed = true;
    }
}
