package spurroad.routing;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import spurroad.transport.GrowthBudget;

/**
 * The pieces of a long value that is being received. The memory of a piece is reserved before it is
 * allocated, and pieces are small as long as little has arrived, so that a slow sender holds little. Used on
 * the event loop only.
 */
final class ValuePieces {
    private static final int MIN_PIECE_BYTES = 4 * 1024;
    private static final int MAX_PIECE_BYTES = 64 * 1024; // the most that one read from a connection returns
    private static final ByteBuffer NONE = ByteBuffer.allocate(0);

    private final GrowthBudget.Reservation memory;
    private final int maxBytes;
    private final Deque<ByteBuffer> pieces = new ArrayDeque<>(); // all but the last are full

    /**
     * Creates a list without pieces.
     *
     * @param maxBytes length of the longest value that the pieces may have to hold
     */
    ValuePieces(GrowthBudget budget, int maxBytes) {
        this(budget, maxBytes, () -> true);
    }

    /** Does the same for a value whose memory is urgent only while a condition holds. */
    ValuePieces(GrowthBudget budget, int maxBytes, BooleanSupplier urgency) {
        memory = budget.open(maxBytes, urgency);
        this.maxBytes = maxBytes;
    }

    /** Returns the piece that is to be filled next; it is full if another one has to be added first. */
    ByteBuffer last() {
        return pieces.isEmpty() ? NONE : pieces.peekLast();
    }

    /** Adds an empty piece if there is memory for it; returns whether there is. */
    boolean tryAdd() {
        int bytes = nextPieceBytes();
        boolean reserved = memory.tryGrow(bytes);
        if (reserved) {
            pieces.add(ByteBuffer.allocate(bytes));
        }
        return reserved;
    }

    /** Adds an empty piece as soon as there is memory for it, and then runs a task. */
    void addLater(Runnable onAdded) {
        int bytes = nextPieceBytes();
        memory.growLater(bytes, () -> {
            pieces.add(ByteBuffer.allocate(bytes));
            onAdded.run();
        });
    }

    private int nextPieceBytes() {
        int held = (int) memory.heldBytes();
        int proportionate = Math.max(MIN_PIECE_BYTES, Math.min(held, MAX_PIECE_BYTES));
        return Math.min(proportionate, maxBytes - held);
    }

    /** Notes that the pieces get no more bytes; returns its pieces, from the start to the limit of each. */
    Deque<ByteBuffer> complete() {
        pieces.forEach(ByteBuffer::flip);
        memory.complete();
        return pieces;
    }

    /** Returns the reservation of all pieces. */
    GrowthBudget.Reservation memory() {
        return memory;
    }

    /** Releases all memory; does nothing the second time. */
    void release() {
        pieces.clear();
        memory.release();
    }
}
