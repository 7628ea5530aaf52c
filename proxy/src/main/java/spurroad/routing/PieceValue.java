package spurroad.routing;

import spurroad.protocol.UpstreamReply;

/** A value that is received in pieces, whose memory is reserved as needed. Used on the event loop only. */
abstract class PieceValue implements IncomingValue {
    final UpstreamReply reply;
    final ValuePieces pieces;

    /** Starts to receive the body of a reply into pieces, which are empty. */
    PieceValue(UpstreamReply reply, ValuePieces pieces) {
        this.reply = reply;
        this.pieces = pieces;
    }

    /** Returns the response with all that was received, which takes over its memory. */
    final BufferedResponse bufferedResponse() {
        return new BufferedResponse(pieces.complete(), pieces.memory());
    }

    @Override
    public final int freeBytes() {
        return pieces.last().remaining();
    }

    @Override
    public final void awaitMemory(Runnable onAvailable) {
        pieces.addLater(onAvailable);
    }

    @Override
    public final void release() {
        pieces.release();
    }
}
