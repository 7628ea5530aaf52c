package spurroad.control.distribution.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import spurroad.control.distribution.state.ConfigurationEntry;
import spurroad.control.distribution.state.ConfigurationUpdate;
import spurroad.control.distribution.state.ConfigurationUpdate.Delta;
import spurroad.control.distribution.state.ConfigurationUpdate.Snapshot;
import spurroad.control.distribution.state.ResourceKey;

/** Wire format of configuration updates. The sequence numbers of entries are delta-encoded. */
final class ConfigurationFormat {
    private static final int ABSENT = 0; // byte for the kind of update
    private static final int DELTA = 1;
    private static final int SNAPSHOT = 2;

    private static final int MIN_ENTRY_BYTES = 4; // sequence number, region, name and value, one byte each

    private ConfigurationFormat() {}

    static void writeUpdate(MessageWriter out, Optional<ConfigurationUpdate> update) {
        if (update.isEmpty()) {
            out.writeByte(ABSENT);
        } else if (update.get() instanceof Delta delta) {
            out.writeByte(DELTA);
            out.writeVarint(delta.fromSequence());
            out.writeVarint(delta.toSequence());
            writeEntries(out, delta.entries());
        } else {
            out.writeByte(SNAPSHOT);
            writeSnapshot(out, (Snapshot) update.get());
        }
    }

    static Optional<ConfigurationUpdate> readUpdate(MessageReader in) throws MalformedMessageException {
        int kind = in.readByte();
        return switch (kind) {
            case ABSENT -> Optional.empty();
            case DELTA -> Optional.of(new Delta(in.readVarint(), in.readVarint(), readEntries(in)));
            case SNAPSHOT -> Optional.of(readSnapshot(in));
            default -> throw new MalformedMessageException(
                "unknown kind of configuration update: expected 0 to 2, got " + kind);
        };
    }

    static void writeSnapshot(MessageWriter out, Snapshot snapshot) {
        out.writeVarint(snapshot.toSequence());
        writeEntries(out, snapshot.entries());
    }

    static Snapshot readSnapshot(MessageReader in) throws MalformedMessageException {
        return new Snapshot(in.readVarint(), readEntries(in));
    }

    private static void writeEntries(MessageWriter out, List<ConfigurationEntry> entries) {
        out.writeVarint(entries.size());
        long previousSequence = 0;
        for (ConfigurationEntry entry : entries) {
            out.writeVarint(entry.sequence() - previousSequence);
            previousSequence = entry.sequence();
            writeKey(out, entry.key());
            writeValue(out, entry.value());
        }
    }

    private static List<ConfigurationEntry> readEntries(MessageReader in) throws MalformedMessageException {
        int count = in.readCount(MIN_ENTRY_BYTES);
        List<ConfigurationEntry> entries = new ArrayList<>(count);
        long sequence = 0;
        for (int i = 0; i < count; i++) {
            sequence += in.readVarint();
            entries.add(new ConfigurationEntry(sequence, readKey(in), readValue(in)));
        }
        return entries;
    }

    static void writeKey(MessageWriter out, ResourceKey key) {
        out.writeString(key.region());
        out.writeString(key.name());
    }

    static ResourceKey readKey(MessageReader in) throws MalformedMessageException {
        return new ResourceKey(in.readString(), in.readString());
    }

    /** Writes a value, which is null for a removal. */
    static void writeValue(MessageWriter out, byte[] value) {
        out.writeBoolean(value != null);
        if (value != null) {
            out.writeBytes(value);
        }
    }

    /** Reads a value; returns null for a removal. */
    static byte[] readValue(MessageReader in) throws MalformedMessageException {
        return in.readBoolean() ? in.readBytes() : null;
    }
}
