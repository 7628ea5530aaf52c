package spurroad.routing;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.ProtocolException;

/**
 * Buffers the long value of a write as it is received, in pieces that are allocated as needed, and checks the
 * line end after it. Used on the event loop only.
 */
final class UploadBuffer {
    /** Size of a piece; equals the most that one read from a connection returns. */
    private static final int PIECE_BYTES = 64 * 1024;
    private static final String LINE_END = "\r\n";

    final MetaCommand command;
    private final List<byte[]> pieces = new ArrayList<>();
    private byte[] piece = {};
    private int positionInPiece;
    private int remainingBytes; // bytes of the value still expected
    private int lineEndBytesReceived; // bytes of the line end received

    UploadBuffer(MetaCommand command) {
        this.command = command;
        remainingBytes = command.valueLength();
    }

    /** Consumes the bytes that belong to the value; returns true once it is complete. */
    boolean take(ByteBuffer bytes) throws ProtocolException {
        while (remainingBytes > 0 && bytes.hasRemaining()) {
            if (positionInPiece == piece.length) {
                piece = new byte[Math.min(remainingBytes, PIECE_BYTES)];
                pieces.add(piece);
                positionInPiece = 0;
            }
            int length = Math.min(bytes.remaining(), piece.length - positionInPiece);
            bytes.get(piece, positionInPiece, length);
            positionInPiece += length;
            remainingBytes -= length;
        }
        while (remainingBytes == 0 && lineEndBytesReceived < LINE_END.length() && bytes.hasRemaining()) {
            if (bytes.get() != LINE_END.charAt(lineEndBytesReceived++)) {
                throw new ProtocolException("CLIENT_ERROR bad data chunk");
            }
        }
        if (lineEndBytesReceived == LINE_END.length()) {
            command.valueChunks(pieces);
        }
        return lineEndBytesReceived == LINE_END.length();
    }
}
