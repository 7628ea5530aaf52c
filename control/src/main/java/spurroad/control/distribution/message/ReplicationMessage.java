package spurroad.control.distribution.message;

/** A message between two replicas of the core. */
public sealed interface ReplicationMessage extends Message permits Message.RequestVote,
    Message.RequestVoteReply, Message.AppendEntries, Message.AppendEntriesReply, Message.InstallSnapshot {}
