package spurroad.routing;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.ProtocolException;

/**
 * The long value of a write as it is received, in pieces that are allocated as they are needed, and the line
 * end that follows it. Used on the event loop only.
 */
final class UploadBuffer {
    /** As much as one reading of a connection brings at most. */
    private static final int PIECE_BYTES = 64 * 1024;
    private static final String LINE_END = "\r\n";

    final MetaCommand command;
    private final List<byte[]> pieces = new ArrayList<>();
    private byte[] piece = {};
    private int positionInPiece;
    private int remaining; // bytes of the value
    private int lineEndBytes; // received

    UploadBuffer(MetaCommand command) {
        this.command = command;
        remaining = command.valueLength();
    }

    /** Takes the bytes that belong to it; returns true once it is complete. */
    boolean take(ByteBuffer bytes) throws ProtocolException {
        while (remaining > 0 && bytes.hasRemaining()) {
            if (positionInPiece == piece.length) {
                piece = new byte[Math.min(remaining, PIECE_BYTES)];
                pieces.add(piece);
                positionInPiece = 0;
            }
            int length = Math.min(bytes.remaining(), piece.length - positionInPiece);
            bytes.get(piece, positionInPiece, length);
            positionInPiece += length;
            remaining -= length;
        }
        while (remaining == 0 && lineEndBytes < LINE_END.length() && bytes.hasRemaining()) {
            if (bytes.get() != LINE_END.charAt(lineEndBytes++)) {
                throw new ProtocolException("CLIENT_ERROR bad data chunk");
            }
        }
        if (lineEndBytes == LINE_END.length()) {
            command.valueChunks(pieces);
        }
        return lineEndBytes == LINE_END.length();
    }
}
