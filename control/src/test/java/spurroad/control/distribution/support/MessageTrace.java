package spurroad.control.distribution.support;

import java.util.Optional;
import spurroad.control.Trace;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.codec.MessageCodec;
import spurroad.control.distribution.log.Command;
import spurroad.control.distribution.log.LogEntry;
import spurroad.control.distribution.log.LogSnapshot;
import spurroad.control.distribution.message.Message;
import spurroad.control.distribution.message.Message.Acknowledgement;
import spurroad.control.distribution.message.Message.AppendEntries;
import spurroad.control.distribution.message.Message.AppendEntriesReply;
import spurroad.control.distribution.message.Message.Heartbeat;
import spurroad.control.distribution.message.Message.InstallSnapshot;
import spurroad.control.distribution.message.Message.LeaseReply;
import spurroad.control.distribution.message.Message.LeaseRequest;
import spurroad.control.distribution.message.Message.RequestVote;
import spurroad.control.distribution.message.Message.RequestVoteReply;
import spurroad.control.distribution.message.Message.Subscribe;
import spurroad.control.distribution.message.Message.SubscriptionRejected;
import spurroad.control.distribution.message.Message.Unsubscribe;
import spurroad.control.distribution.message.Message.Update;
import spurroad.control.distribution.state.ConfigurationEntry;
import spurroad.control.distribution.state.ConfigurationUpdate;
import spurroad.control.distribution.state.ConfigurationUpdate.Delta;
import spurroad.control.distribution.state.ConfigurationUpdate.Snapshot;
import spurroad.control.distribution.state.PurgeBatch;
import spurroad.control.distribution.state.PurgeUpdate;

/**
 * Writes messages and their parts into a trace: first each field, so that swapped fields are detected even if
 * the codec swaps them back, and then the encoded bytes.
 */
public final class MessageTrace {
    private MessageTrace() {}

    public static void process(Trace trace, ProcessId id) {
        trace.number(id == null ? -1 : id.value());
    }

    /** Writes the fields of a message, and its bytes. */
    public static void message(Trace trace, Message message) {
        fields(trace, message);
        trace.bytes(MessageCodec.encode(message));
    }

    /** Writes the fields of a message alone. */
    public static void fields(Trace trace, Message message) {
        if (message instanceof Update update) {
            update(trace, update);
        } else if (message instanceof Acknowledgement acknowledge) {
            trace.part('A').number(acknowledge.updateNumber()).number(acknowledge.configurationSequence())
                .number(acknowledge.purgeNumber()).flag(acknowledge.hasGap())
                .number(acknowledge.sentAtMillis());
        } else if (message instanceof Subscribe subscribe) {
            subscribe(trace, subscribe);
        } else if (message instanceof Unsubscribe unsubscribe) {
            trace.part('U').number(unsubscribe.sentAtMillis());
        } else if (message instanceof SubscriptionRejected rejected) {
            trace.part('R').number(rejected.reason().ordinal()).number(rejected.retryAfterMillis());
        } else if (message instanceof LeaseRequest request) {
            trace.part('L').text(request.group()).number(request.sentAtMillis());
        } else if (message instanceof LeaseReply reply) {
            trace.part('l').text(reply.group()).flag(reply.isGranted()).number(reply.durationMillis())
                .number(reply.echoMillis());
        } else {
            replicationMessage(trace, message);
        }
    }

    private static void subscribe(Trace trace, Subscribe subscribe) {
        trace.part('S').text(subscribe.scope().region()).flag(subscribe.hasConfiguration())
            .number(subscribe.configurationSequence()).number(subscribe.purgeNumber())
            .number(subscribe.purgeHistory())
            .flag(subscribe.acceptsPurgeReset()).number(subscribe.sentAtMillis());
    }

    private static void update(Trace trace, Update update) {
        Heartbeat heartbeat = update.heartbeat();
        trace.part('N').number(update.updateNumber()).number(heartbeat.term())
            .number(heartbeat.configurationSequence()).number(heartbeat.purgeNumber())
            .number(heartbeat.ageMillis()).number(heartbeat.echoMillis()).flag(heartbeat.isConnected());
        configuration(trace, update.configuration());
        purges(trace, update.purges());
    }

    public static void configuration(Trace trace, Optional<ConfigurationUpdate> update) {
        update.ifPresent(present -> configuration(trace, present));
    }

    public static void configuration(Trace trace, ConfigurationUpdate update) {
        if (update instanceof Delta delta) {
            trace.part('d').number(delta.fromSequence()).number(delta.toSequence());
        } else {
            trace.part('s').number(((Snapshot) update).toSequence());
        }
        update.entries().forEach(entry -> entry(trace, entry));
    }

    public static void entry(Trace trace, ConfigurationEntry entry) {
        trace.part('e').number(entry.sequence()).text(entry.key().region()).text(entry.key().name())
            .bytes(entry.value());
    }

    static void purges(Trace trace, Optional<PurgeUpdate> update) {
        update.ifPresent(present -> purges(trace, present));
    }

    public static void purges(Trace trace, PurgeUpdate update) {
        if (update instanceof PurgeBatch batch) {
            trace.part('p').number(batch.fromNumber()).number(batch.toNumber());
            hashes(trace, batch.hashes());
        } else {
            trace.part('z').number(update.toNumber());
        }
    }

    private static void hashes(Trace trace, long[] hashes) {
        trace.number(hashes.length);
        for (long hash : hashes) {
            trace.number(hash);
        }
    }

    private static void replicationMessage(Trace trace, Message message) {
        if (message instanceof RequestVote request) {
            trace.part('V').number(request.term()).number(request.lastLogIndex())
                .number(request.lastLogTerm())
                .flag(request.isPreVote());
        } else if (message instanceof RequestVoteReply vote) {
            trace.part('v').number(vote.term()).flag(vote.isGranted()).flag(vote.isPreVote());
        } else if (message instanceof AppendEntries append) {
            append(trace, append);
        } else if (message instanceof AppendEntriesReply reply) {
            trace.part('g').number(reply.term()).flag(reply.isSuccess()).number(reply.logIndex())
                .number(reply.echoMillis()).number(reply.sentAtMillis());
        } else if (message instanceof InstallSnapshot installation) {
            trace.part('I').number(installation.term());
            snapshot(trace, installation.snapshot());
            trace.number(installation.sentAtMillis());
        } else {
            throw new IllegalArgumentException(
                "unsupported message type: expected a message between replicas");
        }
    }

    private static void append(Trace trace, AppendEntries append) {
        trace.part('G').number(append.term()).number(append.previousLogIndex())
            .number(append.previousLogTerm())
            .number(append.leaderCommitIndex()).number(append.sentAtMillis()).number(append.ageMillis())
            .number(append.echoMillis());
        append.entries().forEach(entry -> logEntry(trace, entry));
    }

    public static void snapshot(Trace trace, LogSnapshot snapshot) {
        trace.part('b').number(snapshot.lastIncludedIndex()).number(snapshot.lastIncludedTerm())
            .number(snapshot.purgeNumber());
        configuration(trace, snapshot.configuration());
    }

    public static void logEntry(Trace trace, LogEntry entry) {
        trace.part('c').number(entry.term());
        command(trace, entry.command());
    }

    public static void command(Trace trace, Command command) {
        if (command instanceof Command.ConfigurationChange change) {
            trace.part('h').text(change.key().region()).text(change.key().name()).bytes(change.value());
        } else if (command instanceof Command.Purge purges) {
            trace.part('p');
            hashes(trace, purges.hashes());
        } else {
            trace.part('n');
        }
    }
}
