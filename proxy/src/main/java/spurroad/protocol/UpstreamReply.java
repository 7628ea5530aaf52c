package spurroad.protocol;

import spurroad.model.CacheStatus;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;

/**
 * The reply of a cache node or the origin to an attempt or a load probe.
 *
 * @param cacheStatus whether the cache node had the value, if it says so
 * @param response the message to the client if the attempt succeeded, else null; with a streamed body, only
 *     the part of the message before that body
 * @param reusable whether the connection can carry another request
 * @param streamedBody the long value that follows the reply; null if there is none
 */
public record UpstreamReply(Outcome outcome, CacheStatus cacheStatus, LoadReport loadReport, byte[] response,
                            boolean reusable,
                            StreamedBody streamedBody) {
    /**
     * A long value that follows the reply and is not part of its response message.
     *
     * @param length the length of the value in bytes
     * @param followedByLineEnd whether CRLF follows the value on the wire
     */
    public record StreamedBody(long length, boolean followedByLineEnd) {}

    /** Creates a reply without a streamed body. */
    public UpstreamReply(Outcome outcome, CacheStatus cacheStatus, LoadReport loadReport, byte[] response,
                         boolean reusable) {
        this(outcome, cacheStatus, loadReport, response, reusable, null);
    }

    /**
     * Returns this reply marked as not reusable, for a connection that sent more bytes than the reply has.
     */
    public UpstreamReply withoutReuse() {
        return new UpstreamReply(outcome, cacheStatus, loadReport, response, false, streamedBody);
    }
}
