package spurroad.routing;

import spurroad.transport.GrowthBudget;

/**
 * Slot for the response to one command in the response order of a connection, with the memory reserved for
 * it. Used on the event loop only.
 */
final class ResponseSlot {
    /** The request; null if the command was not admitted as one. */
    ProxiedRequest request;
    /** Whether the request must not run twice. */
    boolean nonIdempotent;
    /** Counts of the request's class; null once its end was counted, or if the command is not a request. */
    OutcomeStatistics.ClassCounts statistics;
    OutcomeStatistics.End end;
    /** Bytes of the response without a long value; null while the response is awaited. */
    byte[] response;
    /** Long value that follows the response; null if there is none, or once it was passed on completely. */
    LongResponse streamed;
    /** Whether a long value follows the response, or has followed it. */
    boolean hasLongValue;
    /** Whether this is the last response: the connection is closed after it. */
    boolean last;
    private GrowthBudget.Reservation uploadMemory; // null if the command has no long value
    private GrowthBudget.Reservation responseMemory; // null if none was reserved before the response
    private long requestBytes;
    private long responseBytes;

    /** Records the memory of the command's long value; null if it has none. */
    void setUploadMemory(GrowthBudget.Reservation memory) {
        uploadMemory = memory;
    }

    /** Records the memory that was reserved for the response; null if there is none. */
    void setResponseMemory(GrowthBudget.Reservation memory) {
        responseMemory = memory;
    }

    void setRequestBytes(long bytes) {
        requestBytes = bytes;
    }

    void setResponseBytes(long bytes) {
        responseBytes = bytes;
    }

    long responseBytes() {
        return responseBytes;
    }

    /** Returns whether a request awaits its final response in this slot. */
    boolean isAwaitingResponse() {
        return request != null && response == null;
    }

    /** Counts how the request ended; does nothing if that was counted before, or if there is no request. */
    void countEnd(OutcomeStatistics.End finalEnd) {
        if (statistics != null) {
            statistics.onEnd(finalEnd);
            statistics = null;
        }
    }

    /** Releases the memory of the command's long value, if it has one; does nothing the second time. */
    void releaseUploadMemory() {
        if (uploadMemory != null) {
            uploadMemory.release();
        }
    }

    /** Releases the reserved memory. */
    void release(ClientConnections clients) {
        clients.requestMemory.release(requestBytes);
        clients.requestMemory.release(responseBytes);
        requestBytes = responseBytes = 0;
        releaseUploadMemory();
        if (responseMemory != null) {
            responseMemory.release();
        }
    }
}
