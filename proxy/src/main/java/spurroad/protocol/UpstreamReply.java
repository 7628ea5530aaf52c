package spurroad.protocol;

import java.util.Arrays;
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
 * @param unsizedBody a value that ends with the reply and whose length is not known yet; null if there is
 *     none. Such a reply is not complete, and has no response
 */
public record UpstreamReply(Outcome outcome, CacheStatus cacheStatus, LoadReport loadReport, byte[] response,
                            boolean reusable,
                            StreamedBody streamedBody, UnsizedBody unsizedBody) {
    /**
     * A long value that follows the reply and is not part of its response message.
     *
     * @param length the length of the value in bytes
     * @param followedByLineEnd whether CRLF follows the value on the wire
     */
    public record StreamedBody(long length, boolean followedByLineEnd) {
        /**
         * Takes the line end after the value out of a source, if one follows; returns false if it has not
         * arrived yet.
         *
         * @throws ProtocolException if other bytes follow
         */
        public boolean takeEnd(ByteSource in) throws ProtocolException {
            if (!followedByLineEnd) {
                return true;
            }
            byte[] lineEnd = MetaResponse.lineEnd();
            if (in.available() < lineEnd.length) {
                return false;
            }
            if (!Arrays.equals(in.takeBuffered(lineEnd.length), lineEnd)) {
                throw new ProtocolException("expected CR LF after a value");
            }
            return true;
        }
    }

    /**
     * A long value whose length is known only once it has arrived completely.
     *
     * @param start the bytes that were read with the reply
     * @param rest decodes the bytes that follow
     */
    public record UnsizedBody(byte[] start, HttpBodyDecoder rest) {}

    /** Creates a reply without an unsized body. */
    public UpstreamReply(Outcome outcome, CacheStatus cacheStatus, LoadReport loadReport, byte[] response,
                         boolean reusable, StreamedBody streamedBody) {
        this(outcome, cacheStatus, loadReport, response, reusable, streamedBody, null);
    }

    /** Creates a reply without a streamed body. */
    public UpstreamReply(Outcome outcome, CacheStatus cacheStatus, LoadReport loadReport, byte[] response,
                         boolean reusable) {
        this(outcome, cacheStatus, loadReport, response, reusable, null);
    }

    /** Returns the incomplete reply to a read, whose value has a length that is not known yet. */
    static UpstreamReply unsized(LoadReport loadReport, boolean reusable, UnsizedBody body) {
        return new UpstreamReply(Outcome.SUCCEEDED, CacheStatus.NONE, loadReport, null, reusable, null, body);
    }

    /** Returns this reply, whose unsized body has arrived completely, with the response line before it. */
    public UpstreamReply completed(byte[] line, boolean connectionReusable) {
        return new UpstreamReply(outcome, cacheStatus, loadReport, line, reusable && connectionReusable);
    }

    /**
     * Returns this reply marked as not reusable, for a connection that sent more bytes than the reply has.
     */
    public UpstreamReply withoutReuse() {
        return new UpstreamReply(outcome, cacheStatus, loadReport, response, false, streamedBody,
            unsizedBody);
    }
}
