package spurroad.routing;

import java.io.IOException;
import spurroad.protocol.ByteSource;
import spurroad.protocol.UpstreamReply;

/**
 * The value of a reply that is received completely before it is forwarded, in memory that is reserved before
 * it is filled. Used on the event loop only.
 */
interface IncomingValue {
    /** What receiving waits for. */
    enum Progress {
        BYTES_NEEDED, MEMORY_NEEDED, COMPLETE
    }

    /**
     * Takes bytes of the value out of the source as far as there is memory for them.
     *
     * @throws IOException if the value is malformed, too long or ended too early
     */
    Progress receive(ByteSource in) throws IOException;

    /** Returns how many bytes can be received in the memory that is reserved now. */
    int freeBytes();

    /** Runs a task once there is the memory that {@link #receive} needed. */
    void awaitMemory(Runnable onAvailable);

    /**
     * Returns the reply with the complete value, and passes the value's memory to the attempt.
     *
     * @param connectionReusable whether nothing follows the value on its connection
     */
    UpstreamReply complete(UpstreamRequest attempt, boolean connectionReusable);

    /** Releases the memory of an incomplete value. */
    void release();
}
