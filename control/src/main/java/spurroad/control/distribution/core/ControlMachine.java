package spurroad.control.distribution.core;

import java.util.List;
import java.util.Random;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.lease.LeaseGrantor;
import spurroad.control.distribution.message.Message;
import spurroad.control.distribution.message.Message.LeaseRequest;
import spurroad.control.distribution.message.Outbox;
import spurroad.control.distribution.message.Participant;
import spurroad.control.distribution.message.ReplicationMessage;
import spurroad.control.distribution.message.SubscriberMessage;
import spurroad.control.distribution.publish.Publisher;
import spurroad.control.distribution.replication.CommitListener;
import spurroad.control.distribution.replication.PersistentState;
import spurroad.control.distribution.replication.RaftReplica;
import spurroad.control.distribution.state.Scope;

/**
 * One machine of the control service: a replica of the core that publishes committed changes and purges to
 * the regional relays, and grants them their leases.
 *
 * <p>Not thread-safe. Times are nanoseconds of a monotonic clock.
 */
public final class ControlMachine implements Participant {
    private final RaftReplica replica;
    private final Publisher publisher;
    private final LeaseGrantor grantor;

    /**
     * Creates a machine whose replica starts as a follower.
     *
     * @param nowNanos the current time, in nanoseconds of a monotonic clock
     * @param self this machine's identifier
     * @param members all members of the core including this one, in the same order at every member
     * @param persistent persistent state of the replica's previous run, or a new state
     * @param leasesPerGroup number of relays that each region may have
     * @param listener notified of each committed command
     * @param seed seed of all random choices of this machine
     */
    public ControlMachine(long nowNanos, DistributionSettings settings, ProcessId self,
                          List<ProcessId> members, PersistentState persistent, int leasesPerGroup,
                          CommitListener listener, long seed) {
        Random random = new Random(seed);
        replica = new RaftReplica(nowNanos, settings, self, members, persistent, listener,
            random.nextLong());
        publisher = new Publisher(settings, Scope.ALL, replica.configuration(), replica.purges(),
            random.nextLong());
        grantor = new LeaseGrantor(nowNanos, settings, leasesPerGroup);
    }

    /** Handles a message; ignores messages for subscribers and for candidates for a lease. */
    @Override
    public void onMessage(long nowNanos, ProcessId from, Message message, Outbox outbox) {
        if (message instanceof SubscriberMessage fromSubscriber) {
            publisher.onMessage(nowNanos, from, fromSubscriber, status(nowNanos), outbox);
        } else if (message instanceof LeaseRequest request) {
            grantor.onRequest(nowNanos, from, request, outbox);
        } else if (message instanceof ReplicationMessage) {
            replica.onMessage(nowNanos, from, message, outbox);
        }
    }

    @Override
    public void onTimer(long nowNanos, Outbox outbox) {
        replica.onTimer(nowNanos, outbox);
        publisher.flush(nowNanos, status(nowNanos), outbox);
    }

    private Publisher.Status status(long nowNanos) {
        return new Publisher.Status(replica.lastAppliedTerm(), replica.freshness().ageMillis(nowNanos),
            replica.isConnected(nowNanos));
    }

    @Override
    public long nextTimerNanos() {
        return Math.min(replica.nextTimerNanos(), publisher.nextFlushNanos());
    }

    /** Returns the replica of the replicated log. */
    public RaftReplica replica() {
        return replica;
    }

    /** Returns the publisher that sends updates to the regional relays. */
    public Publisher publisher() {
        return publisher;
    }
}
