package spurroad.control.distribution.codec;

import java.util.Optional;
import spurroad.control.distribution.state.PurgeBatch;
import spurroad.control.distribution.state.PurgeUpdate;

/** Wire format of purge updates, with eight bytes for each purge. */
final class PurgeFormat {
    private static final int ABSENT = 0; // byte for the kind of update
    private static final int BATCH = 1;
    private static final int RESET = 2;

    private PurgeFormat() {}

    static void writeUpdate(MessageWriter out, Optional<PurgeUpdate> update) {
        if (update.isEmpty()) {
            out.writeByte(ABSENT);
        } else if (update.get() instanceof PurgeBatch batch) {
            out.writeByte(BATCH);
            out.writeVarint(batch.fromNumber());
            writeHashes(out, batch.hashes());
        } else {
            PurgeUpdate.Reset reset = (PurgeUpdate.Reset) update.get();
            out.writeByte(RESET);
            out.writeVarint(reset.toNumber());
        }
    }

    static Optional<PurgeUpdate> readUpdate(MessageReader in) throws MalformedMessageException {
        int kind = in.readByte();
        return switch (kind) {
            case ABSENT -> Optional.empty();
            case BATCH -> Optional.of(new PurgeBatch(in.readVarint(), readHashes(in)));
            case RESET -> Optional.of(new PurgeUpdate.Reset(in.readVarint()));
            default -> throw new MalformedMessageException(
                "unknown kind of purge update: expected 0 to 2, got " + kind);
        };
    }

    static void writeHashes(MessageWriter out, long[] hashes) {
        out.writeVarint(hashes.length);
        for (long hash : hashes) {
            out.writeFixed64(hash);
        }
    }

    static long[] readHashes(MessageReader in) throws MalformedMessageException {
        long[] hashes = new long[in.readCount(Long.BYTES)];
        for (int i = 0; i < hashes.length; i++) {
            hashes[i] = in.readFixed64();
        }
        return hashes;
    }
}
