package spurroad.control.distribution.message;

import java.util.List;
import java.util.Optional;
import spurroad.control.distribution.log.LogEntry;
import spurroad.control.distribution.log.LogSnapshot;
import spurroad.control.distribution.state.ConfigurationUpdate;
import spurroad.control.distribution.state.Freshness;
import spurroad.control.distribution.state.PurgeUpdate;
import spurroad.control.distribution.state.Scope;

/**
 * A message between processes of the fleet. The four subinterfaces group messages by sender and receiver.
 *
 * <p>Times are milliseconds of the monotonic clock of one process. {@code sentAtMillis} is a reading of the
 * sender's clock. {@code echoMillis} repeats the latest {@code sentAtMillis} that the sender has received
 * from the receiver, so it is a reading of the receiver's clock.
 */
public sealed interface Message
    permits SubscriberMessage, PublisherMessage, LeaseMessage, ReplicationMessage {
    // ---- subscriber to publisher

    /**
     * Requests to become a child of the publisher, and reports the subscriber's position.
     *
     * @param scope part of the configuration that the subscriber uses
     * @param hasConfiguration whether it has ever received a configuration
     * @param configurationSequence sequence number of the latest change in its configuration
     * @param purgeNumber number of the latest purge that it has applied, or {@link #NO_PURGE_NUMBER}
     * @param purgeHistory number of earlier purges that it requests if it has {@link #NO_PURGE_NUMBER}
     * @param acceptsPurgeReset whether the subscriber accepts a reset if the publisher no longer retains the
     *     purges
     */
    record Subscribe(Scope scope, boolean hasConfiguration, long configurationSequence, long purgeNumber,
                     int purgeHistory, boolean acceptsPurgeReset, long sentAtMillis)
        implements
            SubscriberMessage {
        /**
         * Purge number of a subscriber that has stored no responses, so that no earlier purge applies to it.
         */
        public static final long NO_PURGE_NUMBER = -1;

        /** Returns whether the subscriber has stored no responses, so that no earlier purge applies to it. */
        public boolean startsWithoutPurges() {
            return purgeNumber == NO_PURGE_NUMBER;
        }
    }

    /** Ends a subscription; ignored if it was sent before the latest {@link Subscribe}. */
    record Unsubscribe(long sentAtMillis) implements SubscriberMessage {}

    /**
     * Acknowledges an update with the subscriber's current position.
     *
     * @param updateNumber number of the update that this message answers
     * @param hasGap whether the subscriber is missing changes or purges up to that update
     */
    record Acknowledgement(long updateNumber, long configurationSequence, long purgeNumber, boolean hasGap,
                           long sentAtMillis)
        implements
            SubscriberMessage {}

    // ---- publisher to subscriber

    /** Reason for which a publisher rejected or ended a subscription. */
    enum RejectionReason {
        /** The process holds no relay lease. */
        NOT_A_RELAY,
        /** The process has no configuration yet, a configuration of a narrower scope, or no parent. */
        NOT_READY,
        /** The process currently accepts no further children. */
        BUSY,
        /** The purge log no longer retains all purges after the subscriber's position. */
        LOG_TOO_SHORT
    }

    /**
     * Rejects a subscription, or ends an existing one.
     *
     * @param retryAfterMillis delay before the subscriber may retry, in milliseconds; used only with
     *     {@link RejectionReason#BUSY}
     */
    record SubscriptionRejected(RejectionReason reason, long retryAfterMillis) implements PublisherMessage {}

    /**
     * The part of an update that reports the publisher's state, and the position that the subscriber reaches
     * by applying all updates up to this one.
     *
     * @param term term of the core in which the publisher's latest state was committed
     * @param configurationSequence sequence number that the subscriber will have reached
     * @param purgeNumber purge number that the subscriber will have reached
     * @param ageMillis upper bound of the time since the core may have committed something that the publisher
     *     has not sent; {@link Freshness#UNKNOWN_AGE_MILLIS} if unknown
     * @param isConnected whether the publisher itself has a parent or a leader
     */
    record Heartbeat(long term, long configurationSequence, long purgeNumber, long ageMillis,
                     long echoMillis, boolean isConnected) {}

    /**
     * A heartbeat with the new changes and purges.
     *
     * @param updateNumber number of the update in its subscription, starting at 1
     */
    record Update(long updateNumber, Heartbeat heartbeat, Optional<ConfigurationUpdate> configuration,
                  Optional<PurgeUpdate> purges)
        implements
            PublisherMessage {}

    // ---- leases

    /** Requests or renews a lease to act as one of a group's relays. */
    record LeaseRequest(String group, long sentAtMillis) implements LeaseMessage {}

    /**
     * Answers a lease request.
     *
     * @param durationMillis duration of a granted lease, counted from the time its request was sent;
     *     {@link #NOT_A_GRANTOR} from a process that currently grants no leases
     */
    record LeaseReply(String group, boolean isGranted, long durationMillis, long echoMillis)
        implements
            LeaseMessage {
        /** Duration of a reply that asks the candidate to send its request to another process. */
        public static final long NOT_A_GRANTOR = -1;

        /** Returns whether the sender currently grants no leases to any process. */
        public boolean isNotAGrantor() {
            return !isGranted && durationMillis == NOT_A_GRANTOR;
        }
    }

    // ---- replicas of the core; terms as in Raft

    /**
     * Requests a vote. A pre-vote only asks whether the vote would be granted.
     *
     * @param term term that the candidate has entered, or would enter after the pre-vote
     */
    record RequestVote(long term, long lastLogIndex, long lastLogTerm, boolean isPreVote)
        implements
            ReplicationMessage {}

    /**
     * Answers a vote request.
     *
     * @param term term of the request if the vote is granted, else the voter's current term
     */
    record RequestVoteReply(long term, boolean isGranted, boolean isPreVote) implements ReplicationMessage {}

    /**
     * Sends the entries of the leader's log after an index; a heartbeat if there are none.
     *
     * @param ageMillis upper bound of the time since something may have been committed that the leader does
     *     not know of; {@link Freshness#UNKNOWN_AGE_MILLIS} if unknown
     */
    record AppendEntries(long term, long previousLogIndex, long previousLogTerm, List<LogEntry> entries,
                         long leaderCommitIndex, long sentAtMillis, long ageMillis, long echoMillis)
        implements
            ReplicationMessage {}

    /**
     * Answers an {@link AppendEntries} or an {@link InstallSnapshot} message.
     *
     * @param isSuccess whether the entries matched the follower's log
     * @param logIndex on success the last index up to which the logs agree, else the last index up to which
     *     they may agree
     */
    record AppendEntriesReply(long term, boolean isSuccess, long logIndex, long echoMillis,
                              long sentAtMillis)
        implements
            ReplicationMessage {}

    /** Sends the leader's snapshot to a follower that lacks entries that the leader has compacted. */
    record InstallSnapshot(long term, LogSnapshot snapshot, long sentAtMillis)
        implements
            ReplicationMessage {}
}
