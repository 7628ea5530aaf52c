package spurroad.testbed.fleet;

/** What one process of the simulated fleet has sent, received and computed since the last reset. */
final class HostTraffic {
    long bytesIn;
    long bytesOut;
    long messagesIn;
    long messagesOut;
    long cpuNanos; // only of a process whose processor time is measured

    /** Returns all bytes in both directions. */
    long bytes() {
        return bytesIn + bytesOut;
    }

    /** Returns all messages in both directions. */
    long messages() {
        return messagesIn + messagesOut;
    }

    void reset() {
        bytesIn = 0;
        bytesOut = 0;
        messagesIn = 0;
        messagesOut = 0;
        cpuNanos = 0;
    }
}
