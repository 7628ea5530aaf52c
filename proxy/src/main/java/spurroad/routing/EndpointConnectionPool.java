package spurroad.routing;

import java.io.IOException;
import spurroad.model.CacheStatus;
import spurroad.model.EndpointId;
import spurroad.model.EndpointPhase;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;
import spurroad.protocol.EndpointList.ListedEndpoint;
import spurroad.protocol.UpstreamReply;
import spurroad.transport.Connection;
import spurroad.transport.DescriptorBudget;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;

/**
 * The connections to one endpoint, a cache node or the origin: it carries out attempts and ends each of them
 * exactly once. A connection carries one attempt at a time and is kept idle between two. Used on the event
 * loop only.
 */
final class EndpointConnectionPool {
    /**
     * What all pools share.
     *
     * @param connectTimeoutNanos for a connection to be up, and for an attempt to wait for a descriptor
     * @param idleTimeoutNanos after which an endpoint closes an idle connection
     * @param reuseDelayNanos how long a connection rests after a reply, so that a surplus one would be seen
     * @param requestIdleClose has all pools close an idle connection, as descriptors are short
     * @param listener hears how each attempt ends
     * @param onForwarded called for each request that has gone out in full
     */
    record Environment(EventLoop loop, EventLog log, RuleMonitor rules, DescriptorBudget descriptors,
                       long connectTimeoutNanos, long idleTimeoutNanos, long reuseDelayNanos,
                       SocketFactory socketFactory, Runnable requestIdleClose, AttemptListener listener,
                       Runnable onForwarded) {}

    /** Between attempts to acquire a descriptor: idle connections close within that. */
    private static final long DESCRIPTOR_RETRY_NANOS = 10_000_000L;

    private record Timeout(EndpointConnectionPool pool, UpstreamRequest attempt) implements Runnable {
        @Override
        public void run() {
            pool.onTimeout(attempt);
        }
    }

    private final Environment environment;
    private final EndpointId id;
    private final IdleConnections idle;
    private String name;
    private UpstreamProtocol protocol;
    private ListedEndpoint endpoint;
    private int incarnation; // counts addresses and starts of the endpoint
    private boolean removed;
    private boolean administrativelyDrained;

    EndpointConnectionPool(Environment environment, ListedEndpoint endpoint, boolean origin) {
        this.environment = environment;
        id = endpoint.endpoint().id();
        idle = new IdleConnections(environment.loop, environment.idleTimeoutNanos,
            environment.reuseDelayNanos);
        setEndpoint(endpoint, origin);
    }

    private void setEndpoint(ListedEndpoint next, boolean origin) {
        endpoint = next;
        String authority = next.address().getHostString() + ":" + next.address().getPort();
        protocol = origin ? UpstreamProtocol.origin(authority) : UpstreamProtocol.CACHE;
        name = (origin ? "origin " : "cache node ") + authority;
    }

    @Override
    public String toString() {
        return name;
    }

    EndpointId id() {
        return id;
    }

    long now() {
        return environment.loop.now();
    }

    EventLoop loop() {
        return environment.loop;
    }

    // ---- from the load balancer's thread, run on the loop

    /** Discovery lists the endpoint again: a new address or a new start makes its connections useless. */
    void onListed(ListedEndpoint next, boolean origin) {
        boolean replaced = !next.address().equals(endpoint.address())
            || next.endpoint().startedAtNanos() != endpoint.endpoint().startedAtNanos();
        setEndpoint(next, origin);
        incarnation += replaced ? 1 : 0;
        if (replaced || !acceptsRequests()) {
            closeIdle();
        }
    }

    /** Discovery lists the endpoint no more; attempts under way end undisturbed. */
    void onRemoved() {
        removed = true;
        closeIdle();
    }

    /** Operators drain the endpoint, or put it back: while drained, no attempt begins to be sent. */
    void setAdministrativelyDrained(boolean drained) {
        administrativelyDrained = drained;
        if (drained) {
            closeIdle();
        }
    }

    /** Closes all idle connections. */
    void closeIdle() {
        idle.closeAll();
    }

    /** Where descriptors are short: closes the connections that have been idle the longest. */
    void closeLongestIdle(int atMost) {
        idle.closeLongestIdle(atMost);
    }

    /** Begins an attempt. */
    void start(UpstreamRequest attempt) {
        attempt.startedAtNanos = now();
        attempt.incarnation = incarnation; // a later decision comes later
        scheduleTimeout(attempt, Math.min(attempt.sendDeadlineNanos, attempt.deadlineNanos));
        dispatch(attempt);
    }

    /** Cancels an attempt; the endpoint may go on with it if it was fully sent, else it never ran. */
    void cancel(UpstreamRequest attempt) {
        if (!attempt.ended) {
            closeConnection(attempt);
            end(attempt, withoutReply(cancelledOutcome(attempt)));
        }
    }

    private static Outcome cancelledOutcome(UpstreamRequest attempt) {
        if (attempt.fullySent) {
            return Outcome.CANCELLED;
        }
        return attempt.isAbandoned() ? Outcome.NOT_SENT : Outcome.NO_CONNECTION;
    }

    /**
     * Nobody waits for the attempt any more: what has gone out in part is not finished, whatever the
     * deployment says of cancels, as it has never run. What waits for a connection ends when that is up, and
     * leaves it to others.
     */
    void withdraw(UpstreamRequest attempt) {
        if (attempt.firstByteSent && !attempt.fullySent) {
            cancel(attempt);
        }
    }

    // ---- sending

    /**
     * How an attempt ends whose first byte is about to go out and must not; null where it may. Checked there
     * and nowhere else: what forbids it may have come between the decision and a descriptor or a connection.
     */
    Outcome sendObstacle(UpstreamRequest attempt) {
        if (attempt.isAbandoned() || now() >= attempt.sendDeadlineNanos || attempt.isOverdue(now())) {
            // nobody waits for it, or its time to go out is over: the endpoint is not to blame
            return Outcome.NOT_SENT;
        }
        // a probe of a draining endpoint is no request, and its failure would speak against the endpoint
        boolean accepted = acceptsRequests() || attempt.isLoadProbe() && !removed && !administrativelyDrained;
        return accepted && attempt.incarnation == incarnation ? null : Outcome.NO_CONNECTION;
    }

    private boolean acceptsRequests() {
        return !removed && !administrativelyDrained && endpoint.endpoint().phase() == EndpointPhase.READY;
    }

    private void dispatch(UpstreamRequest attempt) {
        if (attempt.ended) {
            return;
        }
        Outcome obstacle = sendObstacle(attempt);
        if (obstacle != null) {
            end(attempt, withoutReply(obstacle));
            return;
        }
        EndpointConnection reused = idle.take();
        if (reused != null) {
            reused.attempt = attempt;
            attempt.connection = reused;
            reused.write(attempt);
        } else if (environment.descriptors.tryAcquireForEndpoint()) {
            connect(attempt);
        } else {
            waitForDescriptor(attempt);
        }
    }

    private void connect(UpstreamRequest attempt) {
        attempt.connection = new EndpointConnection(this, protocol, incarnation, attempt);
        attempt.connection.connect(endpoint.address(), environment.connectTimeoutNanos);
    }

    private void waitForDescriptor(UpstreamRequest attempt) {
        if (!idle.isEmpty()) {
            // one that rests is ready sooner than a descriptor that others would have to give up
            environment.loop.schedule(idle.nanosUntilRested(), () -> dispatch(attempt));
        } else if (now() - attempt.startedAtNanos < environment.connectTimeoutNanos) {
            environment.log.warn("no descriptor left for endpoints", "endpoint=" + name);
            environment.requestIdleClose.run();
            environment.loop.schedule(DESCRIPTOR_RETRY_NANOS, () -> dispatch(attempt));
        } else {
            // this process's own shortage: the endpoint is not to blame, and no other has a descriptor
            end(attempt, withoutReply(Outcome.NOT_SENT));
        }
    }

    // ---- the end of an attempt

    private void scheduleTimeout(UpstreamRequest attempt, long atNanos) {
        attempt.timeout = environment.loop.schedule(atNanos - now(), new Timeout(this, attempt));
    }

    private void onTimeout(UpstreamRequest attempt) {
        if (attempt.ended) {
            return;
        }
        if (attempt.fullySent && now() < attempt.deadlineNanos) {
            scheduleTimeout(attempt, attempt.deadlineNanos); // sent in time, its reply may still come
            return;
        }
        // late for its last byte alone: the endpoint is not to blame
        boolean sendTimeout = now() < attempt.deadlineNanos;
        closeConnection(attempt);
        Outcome notSent = sendTimeout ? Outcome.NOT_SENT : Outcome.NO_CONNECTION;
        end(attempt, withoutReply(attempt.fullySent ? Outcome.TIMED_OUT : notSent));
    }

    private static void closeConnection(UpstreamRequest attempt) {
        if (attempt.connection != null) {
            attempt.connection.close();
        }
    }

    private void end(UpstreamRequest attempt, UpstreamReply reply) {
        attempt.ended = true;
        attempt.timeout.cancel();
        if (reply.outcome() == Outcome.FAILED
            || !reply.outcome().hasReply() && reply.outcome() != Outcome.CANCELLED) {
            environment.log.warn(attempt.isLoadProbe() ? "load probe failed" : "attempt failed",
                "endpoint=" + name + " outcome=" + reply.outcome()
                    + (attempt.isLoadProbe() ? "" : " " + attempt));
        }
        environment.listener.onAttemptEnd(attempt, reply);
    }

    private static UpstreamReply withoutReply(Outcome outcome) {
        return new UpstreamReply(outcome, CacheStatus.NONE, LoadReport.NONE, null, false);
    }

    // ---- from the connections

    /** The first byte of an attempt has gone out, which told the endpoint of so much time. */
    void onFirstByteSent(UpstreamRequest attempt, long timeLeftMillis) {
        if (!attempt.isLoadProbe()) {
            environment.rules.onSent(new RuleMonitor.Sent(attempt.command().id(), name, acceptsRequests(),
                attempt.request.clientDisconnected, timeLeftMillis, attempt.request.deadlineNanos - now()));
        }
    }

    /** The last byte of an attempt has gone out. */
    void onFullySent(UpstreamRequest attempt) {
        if (!attempt.fullySent && !attempt.isLoadProbe()) {
            environment.onForwarded.run();
        }
        attempt.fullySent = true;
    }

    /** An attempt has its reply in full. */
    void onReply(EndpointConnection connection, UpstreamRequest attempt, UpstreamReply reply) {
        if (connection.closed) {
            return;
        }
        connection.attempt = null;
        release(connection, reply.reusable());
        end(attempt, reply);
    }

    /**
     * A reply with a long value has begun: the attempt has ended, its connection stays with the client's.
     */
    void onStreamedReply(EndpointConnection connection, UpstreamRequest attempt, UpstreamReply reply) {
        if (!connection.closed) {
            connection.attempt = null;
            end(attempt, reply);
        }
    }

    /** A connection is up and its attempt may not be sent: the connection is left to the next one. */
    void onNotSent(EndpointConnection connection, UpstreamRequest attempt, Outcome obstacle) {
        connection.attempt = null;
        attempt.connection = null;
        release(connection, true);
        end(attempt, withoutReply(obstacle));
    }

    /** A connection carries nothing any more: it is kept idle, or closed. */
    void release(EndpointConnection connection, boolean reusable) {
        if (reusable && acceptsRequests() && connection.incarnation == incarnation) {
            idle.add(connection);
        } else {
            connection.close();
        }
    }

    /** A connection ended or broke, or could not be opened. */
    void onConnectionLost(EndpointConnection connection) {
        idle.remove(connection);
        UpstreamRequest attempt = connection.attempt;
        if (!connection.closed && attempt != null && !attempt.ended) {
            end(attempt,
                withoutReply(attempt.fullySent ? Outcome.CONNECTION_LOST : Outcome.NO_CONNECTION));
        }
        connection.closed = true;
    }

    Connection openSocket() throws IOException {
        return environment.socketFactory.socket(environment.loop,
            environment.descriptors::releaseFromEndpoint);
    }

    /** Not even a socket is to be had for a connection. */
    void onNoSocket(IOException failure) {
        environment.log.warn("socket to endpoint not opened",
            "endpoint=" + name + " error=" + failure.getMessage());
        environment.descriptors.releaseFromEndpoint();
    }

    /** A reply of the endpoint is malformed. */
    void onMalformedReply(String fault) {
        environment.log.warn("invalid response", "endpoint=" + name + " reason=" + fault);
    }
}
