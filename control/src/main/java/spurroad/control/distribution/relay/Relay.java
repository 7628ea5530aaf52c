package spurroad.control.distribution.relay;

import java.util.List;
import java.util.Random;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.lease.LeaseClient;
import spurroad.control.distribution.lease.LeaseGrantor;
import spurroad.control.distribution.message.Message;
import spurroad.control.distribution.message.Message.LeaseReply;
import spurroad.control.distribution.message.Message.LeaseRequest;
import spurroad.control.distribution.message.Message.RejectionReason;
import spurroad.control.distribution.message.Message.Subscribe;
import spurroad.control.distribution.message.Message.SubscriptionRejected;
import spurroad.control.distribution.message.Outbox;
import spurroad.control.distribution.message.Participant;
import spurroad.control.distribution.message.PublisherMessage;
import spurroad.control.distribution.message.SubscriberMessage;
import spurroad.control.distribution.publish.Publisher;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.PurgeLog;
import spurroad.control.distribution.state.Scope;
import spurroad.control.distribution.state.StateListener;
import spurroad.control.distribution.subscribe.Subscriber;

/**
 * A process that may become a relay. It is always a subscriber, and while it holds its group's lease it is
 * also a publisher and has parents one level up. If it has no parent for too long, it releases the lease, so
 * that another candidate can obtain it.
 *
 * <p>Not thread-safe. Times are nanoseconds of a monotonic clock.
 */
public final class Relay implements Participant {
    /**
     * The position of a process in the tree.
     *
     * @param group the group whose lease it requests, such as a site
     * @param grantors processes to which it sends lease requests, in the same order at all candidates of the
     *     group
     * @param parentsAsRelay its parents while it holds the lease, one level up; its fallback parents while it
     *     does not
     * @param preferredParents its preferred parents while it does not hold the lease: the other candidates of
     *     its group
     * @param leasesPerSubgroup maximum number of relays of each group below it; 0 if it grants no leases
     */
    public record TreePosition(String group, List<ProcessId> grantors, List<ProcessId> parentsAsRelay,
                               List<ProcessId> preferredParents, int leasesPerSubgroup) {}

    /** Time without a parent after which the lease is released. */
    private static final long RELEASE_TIMEOUT_NANOS = 3 * DistributionSettings.NANOS_PER_SECOND;
    /** Time for which a released lease is not requested again. */
    private static final long RELEASED_LEASE_BACKOFF_NANOS = 5 * DistributionSettings.NANOS_PER_SECOND;

    private final TreePosition position;
    private final Subscriber subscriber;
    private final Publisher publisher;
    private final LeaseClient lease;
    private final LeaseGrantor grantor;
    private final FormerChildRetention formerChildRetention;
    private boolean isRelay;
    private long lastAttachedNanos; // latest time with a parent; also set by each role change
    private long leaseBackoffEndNanos;

    /**
     * Creates a process without state, parent or lease.
     *
     * @param nowNanos the current time, in nanoseconds of a monotonic clock
     * @param scope the part of the configuration that it and its children use
     * @param listener receives all changes and purges that take effect at this process
     * @param seed the seed for all random choices of this process
     */
    public Relay(long nowNanos, DistributionSettings settings, Scope scope, TreePosition position,
                 StateListener listener, long seed) {
        this.position = position;
        Random random = new Random(seed);
        ConfigurationState configuration = new ConfigurationState(settings.configurationLogCapacity);
        PurgeLog purges = new PurgeLog(settings.usualPurgeLogCapacity, settings.maxPurgeLogCapacity);
        subscriber = new Subscriber(settings, scope, configuration, purges, settings.usualPurgeLogCapacity,
            listener, random.nextLong());
        publisher = new Publisher(settings, scope, configuration, purges, random.nextLong());
        lease = new LeaseClient(nowNanos, settings, position.group(), position.grantors(), random);
        grantor = new LeaseGrantor(nowNanos, settings, position.leasesPerSubgroup());
        formerChildRetention = new FormerChildRetention(subscriber, publisher);
        subscriber.setParentCandidates(nowNanos, position.preferredParents(), position.parentsAsRelay());
        lastAttachedNanos = nowNanos;
    }

    @Override
    public void onMessage(long nowNanos, ProcessId from, Message message, Outbox outbox) {
        if (message instanceof SubscriberMessage fromSubscriber) {
            onSubscriberMessage(nowNanos, from, fromSubscriber, outbox);
        } else if (message instanceof PublisherMessage) {
            formerChildRetention.update(nowNanos);
            subscriber.onMessage(nowNanos, from, message, outbox);
        } else if (message instanceof LeaseRequest request) {
            onLeaseRequest(nowNanos, from, request, outbox);
        } else if (message instanceof LeaseReply reply) {
            onLeaseReply(nowNanos, from, reply);
        }
        updateRole(nowNanos, outbox);
    }

    private void onSubscriberMessage(long nowNanos, ProcessId from, SubscriberMessage message,
                                     Outbox outbox) {
        if (message instanceof Subscribe && !isRelay) {
            outbox.send(from, new SubscriptionRejected(RejectionReason.NOT_A_RELAY, 0));
        } else {
            publisher.onMessage(nowNanos, from, message, status(nowNanos), outbox);
        }
    }

    private void onLeaseRequest(long nowNanos, ProcessId from, LeaseRequest request, Outbox outbox) {
        if (isRelay && subscriber.isAttached() && position.leasesPerSubgroup() > 0) {
            grantor.onRequest(nowNanos, from, request, outbox);
        } else {
            outbox.send(from, new LeaseReply(request.group(), false, LeaseReply.NOT_A_GRANTOR,
                request.sentAtMillis()));
        }
    }

    private void onLeaseReply(long nowNanos, ProcessId from, LeaseReply reply) {
        if (reply.isNotAGrantor()) {
            lease.onGrantorUnavailable(nowNanos, from);
        } else {
            lease.onReply(nowNanos, from, reply);
        }
    }

    @Override
    public void onTimer(long nowNanos, Outbox outbox) {
        subscriber.onTimer(nowNanos, outbox);
        formerChildRetention.update(nowNanos);
        releaseLeaseWithoutParent(nowNanos);
        updateRole(nowNanos, outbox);
        lease.onTimer(nowNanos, nowNanos >= leaseBackoffEndNanos, outbox);
        publisher.flush(nowNanos, status(nowNanos), outbox);
    }

    private void releaseLeaseWithoutParent(long nowNanos) {
        if (subscriber.isAttached()) {
            lastAttachedNanos = nowNanos;
        } else if (isRelay && nowNanos - lastAttachedNanos >= RELEASE_TIMEOUT_NANOS) {
            lease.release();
            leaseBackoffEndNanos = nowNanos + RELEASED_LEASE_BACKOFF_NANOS;
        }
    }

    /** Becomes a relay if the lease was obtained, and a plain subscriber if the lease was lost. */
    private void updateRole(long nowNanos, Outbox outbox) {
        boolean holdsLease = lease.isHeld(nowNanos);
        if (holdsLease == isRelay) {
            return;
        }
        isRelay = holdsLease;
        lastAttachedNanos = nowNanos;
        if (holdsLease) {
            subscriber.setParentCandidates(nowNanos, position.parentsAsRelay(), List.of());
        } else {
            publisher.rejectChildren(RejectionReason.NOT_A_RELAY, outbox);
            subscriber.setParentCandidates(nowNanos, position.preferredParents(),
                position.parentsAsRelay());
        }
    }

    private Publisher.Status status(long nowNanos) {
        return new Publisher.Status(subscriber.term(), subscriber.freshness().ageMillis(nowNanos),
            subscriber.isAttached());
    }

    @Override
    public long nextTimerNanos() {
        long nextNanos = Math.min(subscriber.nextTimerNanos(),
            Math.min(lease.nextTimerNanos(), publisher.nextFlushNanos()));
        if (!isRelay) {
            return nextNanos;
        }
        nextNanos = Math.min(nextNanos, lease.heldUntilNanos());
        return subscriber.isAttached() ? nextNanos
            : Math.min(nextNanos, lastAttachedNanos + RELEASE_TIMEOUT_NANOS);
    }

    /** Returns whether this process holds the lease and accepts children. */
    public boolean isRelay() {
        return isRelay;
    }

    /** Returns the receiving end of the link to its parent. */
    public Subscriber subscriber() {
        return subscriber;
    }

    /** Returns the sending end of the links to its children. */
    public Publisher publisher() {
        return publisher;
    }
}
