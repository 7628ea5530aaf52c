package spurroad.control.distribution.codec;

import java.util.ArrayList;
import java.util.List;
import spurroad.control.distribution.log.Command;
import spurroad.control.distribution.log.LogEntry;
import spurroad.control.distribution.log.LogSnapshot;
import spurroad.control.distribution.message.Message.AppendEntries;
import spurroad.control.distribution.message.Message.AppendEntriesReply;
import spurroad.control.distribution.message.Message.InstallSnapshot;
import spurroad.control.distribution.message.Message.RequestVote;
import spurroad.control.distribution.message.Message.RequestVoteReply;

/** Wire formats of the messages between replicas of the core. */
final class ReplicationFormats {
    /** The formats of all five message kinds. */
    static final List<MessageFormat<?>> ALL = List.of(
        new MessageFormat<>(7, RequestVote.class, ReplicationFormats::writeRequestVote,
            ReplicationFormats::readRequestVote),
        new MessageFormat<>(8, RequestVoteReply.class, ReplicationFormats::writeRequestVoteReply,
            ReplicationFormats::readRequestVoteReply),
        new MessageFormat<>(9, AppendEntries.class, ReplicationFormats::writeAppendEntries,
            ReplicationFormats::readAppendEntries),
        new MessageFormat<>(10, AppendEntriesReply.class, ReplicationFormats::writeAppendEntriesReply,
            ReplicationFormats::readAppendEntriesReply),
        new MessageFormat<>(11, InstallSnapshot.class, ReplicationFormats::writeInstallSnapshot,
            ReplicationFormats::readInstallSnapshot));

    private static final int NO_OP = 0; // byte for the kind of command
    private static final int CONFIGURATION_CHANGE = 1;
    private static final int PURGE = 2;

    private static final int MIN_ENTRY_BYTES = 2; // term and kind of command, one byte each

    private ReplicationFormats() {}

    private static void writeRequestVote(MessageWriter out, RequestVote request) {
        out.writeVarint(request.term());
        out.writeVarint(request.lastLogIndex());
        out.writeVarint(request.lastLogTerm());
        out.writeBoolean(request.isPreVote());
    }

    private static RequestVote readRequestVote(MessageReader in) throws MalformedMessageException {
        return new RequestVote(in.readVarint(), in.readVarint(), in.readVarint(), in.readBoolean());
    }

    private static void writeRequestVoteReply(MessageWriter out, RequestVoteReply reply) {
        out.writeVarint(reply.term());
        out.writeBoolean(reply.isGranted());
        out.writeBoolean(reply.isPreVote());
    }

    private static RequestVoteReply readRequestVoteReply(MessageReader in) throws MalformedMessageException {
        return new RequestVoteReply(in.readVarint(), in.readBoolean(), in.readBoolean());
    }

    private static void writeAppendEntries(MessageWriter out, AppendEntries append) {
        out.writeVarint(append.term());
        out.writeVarint(append.previousLogIndex());
        out.writeVarint(append.previousLogTerm());
        writeEntries(out, append.entries());
        out.writeVarint(append.leaderCommitIndex());
        out.writeVarint(append.sentAtMillis());
        out.writeVarintOrNone(append.ageMillis());
        out.writeVarint(append.echoMillis());
    }

    private static AppendEntries readAppendEntries(MessageReader in) throws MalformedMessageException {
        return new AppendEntries(in.readVarint(), in.readVarint(), in.readVarint(), readEntries(in),
            in.readVarint(), in.readVarint(), in.readVarintOrNone(), in.readVarint());
    }

    private static void writeEntries(MessageWriter out, List<LogEntry> entries) {
        out.writeVarint(entries.size());
        for (LogEntry entry : entries) {
            out.writeVarint(entry.term());
            writeCommand(out, entry.command());
        }
    }

    private static List<LogEntry> readEntries(MessageReader in) throws MalformedMessageException {
        int count = in.readCount(MIN_ENTRY_BYTES);
        List<LogEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            entries.add(new LogEntry(in.readVarint(), readCommand(in)));
        }
        return entries;
    }

    private static void writeCommand(MessageWriter out, Command command) {
        if (command instanceof Command.ConfigurationChange change) {
            out.writeByte(CONFIGURATION_CHANGE);
            ConfigurationFormat.writeKey(out, change.key());
            ConfigurationFormat.writeValue(out, change.value());
        } else if (command instanceof Command.Purge purge) {
            out.writeByte(PURGE);
            PurgeFormat.writeHashes(out, purge.hashes());
        } else if (command instanceof Command.NoOp) {
            out.writeByte(NO_OP);
        } else {
            throw new IllegalArgumentException("no wire format for command type " + command.getClass());
        }
    }

    private static Command readCommand(MessageReader in) throws MalformedMessageException {
        int kind = in.readByte();
        return switch (kind) {
            case NO_OP -> new Command.NoOp();
            case CONFIGURATION_CHANGE -> new Command.ConfigurationChange(ConfigurationFormat.readKey(in),
                ConfigurationFormat.readValue(in));
            case PURGE -> new Command.Purge(PurgeFormat.readHashes(in));
            default ->
                throw new MalformedMessageException("unknown kind of command: expected 0 to 2, got " + kind);
        };
    }

    private static void writeAppendEntriesReply(MessageWriter out, AppendEntriesReply reply) {
        out.writeVarint(reply.term());
        out.writeBoolean(reply.isSuccess());
        out.writeVarint(reply.logIndex());
        out.writeVarint(reply.echoMillis());
        out.writeVarint(reply.sentAtMillis());
    }

    private static AppendEntriesReply readAppendEntriesReply(MessageReader in)
        throws MalformedMessageException {
        return new AppendEntriesReply(in.readVarint(), in.readBoolean(), in.readVarint(), in.readVarint(),
            in.readVarint());
    }

    private static void writeInstallSnapshot(MessageWriter out, InstallSnapshot install) {
        out.writeVarint(install.term());
        out.writeVarint(install.snapshot().lastIncludedIndex());
        out.writeVarint(install.snapshot().lastIncludedTerm());
        ConfigurationFormat.writeSnapshot(out, install.snapshot().configuration());
        out.writeVarint(install.snapshot().purgeNumber());
        out.writeVarint(install.sentAtMillis());
    }

    private static InstallSnapshot readInstallSnapshot(MessageReader in) throws MalformedMessageException {
        return new InstallSnapshot(in.readVarint(), new LogSnapshot(in.readVarint(), in.readVarint(),
            ConfigurationFormat.readSnapshot(in), in.readVarint()), in.readVarint());
    }
}
