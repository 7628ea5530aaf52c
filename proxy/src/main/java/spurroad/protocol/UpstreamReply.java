package spurroad.protocol;

import spurroad.model.CacheStatus;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;

/**
 * The reply of a cache node or the origin to an attempt or a load probe.
 *
 * @param note whether the cache node had the value, if it says so
 * @param response the message to the client if the attempt succeeded, else null; with a streamed body, only
 *     the part of the message before that body
 * @param reusable whether the connection can carry another request
 * @param streamedBody the long value that follows the reply; null if there is none
 */
public record UpstreamReply(Outcome outcome, CacheStatus note, LoadReport load, byte[] response,
                            boolean reusable,
                            StreamedBody streamedBody) {
    /**
     * A long value that follows the reply and is not part of its response message.
     *
     * @param bytes the length of the value in bytes
     * @param lineEnd whether CRLF follows the value on the wire
     */
    public record StreamedBody(long bytes, boolean lineEnd) {}

    /** Creates a reply without a streamed body. */
    public UpstreamReply(Outcome outcome, CacheStatus note, LoadReport load, byte[] response,
                         boolean reusable) {
        this(outcome, note, load, response, reusable, null);
    }

    /**
     * Returns this reply marked as not reusable, for a connection that sent more bytes than the reply has.
     */
    public UpstreamReply last() {
        return new UpstreamReply(outcome, note, load, response, false, streamedBody);
    }
}
