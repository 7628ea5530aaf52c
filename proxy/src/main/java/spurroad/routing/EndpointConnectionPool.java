package spurroad.routing;

import java.io.IOException;
import spurroad.model.CacheStatus;
import spurroad.model.EndpointId;
import spurroad.model.EndpointPhase;
import spurroad.model.LoadReport;
import spurroad.model.Outcome;
import spurroad.protocol.EndpointList.ListedEndpoint;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.UpstreamReply;
import spurroad.transport.Connection;
import spurroad.transport.DescriptorBudget;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;

/**
 * A pool of connections to one endpoint, a cache node or the origin. It executes attempts and ends each
 * attempt exactly once. A connection carries one attempt at a time and is kept idle between attempts. Used on
 * the event loop only.
 */
final class EndpointConnectionPool {
    /**
     * The settings and services that all pools share.
     *
     * @param replyMemory memory of what is received of replies before it is forwarded
     * @param connectTimeoutNanos maximum time to connect, and for an attempt to wait for a descriptor
     * @param idleTimeoutNanos time after which an endpoint closes an idle connection
     * @param reuseDelayNanos how long a connection stays unused after a reply, so that a surplus reply is
     *     noticed
     * @param requestIdleClose asks all pools to close an idle connection when descriptors are short
     * @param listener is notified of the end of each attempt
     * @param onForwarded called for each request that was sent in full
     */
    record Environment(EventLoop loop, EventLog log, RuleMonitor rules, DescriptorBudget descriptors,
                       ReplyMemory replyMemory, long connectTimeoutNanos,
                       long idleTimeoutNanos,
                       long reuseDelayNanos,
                       SocketFactory socketFactory, Runnable requestIdleClose, AttemptListener listener,
                       Runnable onForwarded) {}

    /** Pause between attempts to acquire a descriptor; idle connections close within that time. */
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
    private final AttemptTrace trace;
    private String name;
    private UpstreamProtocol protocol;
    private ListedEndpoint endpoint;
    private int incarnation; // incremented with each new address or start of the endpoint
    private boolean removed;
    private boolean administrativelyDrained;

    EndpointConnectionPool(Environment environment, ListedEndpoint endpoint, boolean origin) {
        this.environment = environment;
        id = endpoint.endpoint().id();
        idle = new IdleConnections(environment.loop, environment.idleTimeoutNanos,
            environment.reuseDelayNanos);
        trace = new AttemptTrace(environment.log, environment.loop::now);
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

    // ---- called by messages of the load balancer's thread, on the event loop

    /** Updates the listed endpoint; a new address or start time invalidates its connections. */
    void onListed(ListedEndpoint next, boolean origin) {
        boolean replaced = !next.address().equals(endpoint.address())
            || next.endpoint().startedAtNanos() != endpoint.endpoint().startedAtNanos();
        setEndpoint(next, origin);
        incarnation += replaced ? 1 : 0;
        if (replaced || !acceptsRequests()) {
            closeIdle();
        }
    }

    /** Handles the endpoint's removal from the list; attempts in flight may still complete. */
    void onRemoved() {
        removed = true;
        closeIdle();
    }

    /** Sets whether operators drain the endpoint; while it is drained, no attempt starts to be sent. */
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

    /** Closes the longest idle connections, when descriptors are short. */
    void closeLongestIdle(int maxCount) {
        idle.closeLongestIdle(maxCount);
    }

    /** Starts an attempt. */
    void start(UpstreamRequest attempt) {
        attempt.startedAtNanos = now();
        attempt.incarnation = incarnation; // attempts and list updates arrive in the order of decisions
        scheduleTimeout(attempt, Math.min(attempt.sendDeadlineNanos, attempt.deadlineNanos));
        dispatch(attempt);
    }

    /** Cancels an attempt. The endpoint may still execute a fully sent one; any other never runs. */
    void cancel(UpstreamRequest attempt) {
        if (!attempt.ended) {
            trace.onCancel(attempt);
            giveUpConnection(attempt);
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
     * Withdraws an attempt whose response is no longer needed. A partly sent attempt is cancelled whether or
     * not the deployment allows cancels, as it has never run. An attempt that waits for a connection ends
     * once that is established, and leaves the connection to other attempts.
     */
    void withdraw(UpstreamRequest attempt) {
        if (attempt.firstByteSent && !attempt.fullySent) {
            cancel(attempt);
        }
    }

    // ---- sending

    /**
     * Returns the outcome of an attempt that must not be sent, or null if it may be sent. It is checked only
     * right before the first byte, because an obstacle may arise between the decision and the moment at which
     * a descriptor or a connection becomes available.
     */
    Outcome sendObstacle(UpstreamRequest attempt) {
        if (attempt.isAbandoned() || now() >= attempt.sendDeadlineNanos || attempt.isOverdue(now())) {
            // abandoned, or past its send deadline: not a fault of the endpoint
            return Outcome.NOT_SENT;
        }
        // a draining endpoint still answers load probes, and a failed probe would count against it
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
            // a connection in its reuse delay is available sooner than a descriptor that others must release
            environment.loop.schedule(idle.nanosUntilReusable(), () -> dispatch(attempt));
        } else if (now() - attempt.startedAtNanos < environment.connectTimeoutNanos) {
            environment.log.warn("no descriptor left for endpoints", "endpoint=" + name);
            environment.requestIdleClose.run();
            environment.loop.schedule(DESCRIPTOR_RETRY_NANOS, () -> dispatch(attempt));
        } else {
            // the process lacks descriptors: not a fault of the endpoint, and other endpoints get none either
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
        if (now() >= attempt.deadlineNanos) {
            giveUpConnection(attempt);
            end(attempt, withoutReply(attempt.fullySent ? Outcome.TIMED_OUT : Outcome.NO_CONNECTION));
        } else {
            onSendDeadline(attempt);
        }
    }

    /**
     * Handles that the last byte must have been sent by now. It is sent in time only if it has left the send
     * queue of the kernel, which takes in whole values of an endpoint that reads slowly. A miss of the
     * deadline is not a fault of the endpoint.
     */
    private void onSendDeadline(UpstreamRequest attempt) {
        if (!attempt.fullySent) {
            giveUpConnection(attempt);
            end(attempt, withoutReply(Outcome.NOT_SENT));
        } else if (attempt.connection.isRequestUndelivered()) {
            giveUpConnection(attempt);
            // it may have been delivered since the look
            end(attempt, withoutReply(Outcome.CANCELLED));
        } else {
            scheduleTimeout(attempt, attempt.deadlineNanos); // sent in time, its reply may still arrive
        }
    }

    /** Gives up the connection of an attempt; a write that has not been delivered whole never is. */
    private static void giveUpConnection(UpstreamRequest attempt) {
        boolean isWrite = !attempt.isLoadProbe() && attempt.command().kind == MetaCommand.Kind.WRITE;
        if (isWrite && attempt.firstByteSent && attempt.connection != null) {
            attempt.connection.recallRequest();
        } else {
            closeConnection(attempt);
        }
    }

    private static void closeConnection(UpstreamRequest attempt) {
        if (attempt.connection != null) {
            attempt.connection.close();
        }
    }

    private void end(UpstreamRequest attempt, UpstreamReply reply) {
        attempt.ended = true;
        attempt.timeout.cancel();
        trace.onEnd(attempt, reply.outcome());
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

    // ---- called by the connections

    /** Handles the first sent byte of an attempt whose message states the given time left. */
    void onFirstByteSent(UpstreamRequest attempt, long timeLeftMillis) {
        if (!attempt.isLoadProbe()) {
            attempt.request.sent = true;
            environment.rules.onSent(new RuleMonitor.Sent(attempt.command().id(), name, acceptsRequests(),
                attempt.request.clientDisconnected, timeLeftMillis, attempt.request.deadlineNanos - now()));
        }
    }

    /** Handles the last sent byte of an attempt. */
    void onFullySent(UpstreamRequest attempt) {
        if (!attempt.fullySent && !attempt.isLoadProbe()) {
            environment.onForwarded.run();
            trace.onFullySent(attempt);
        }
        attempt.fullySent = true;
    }

    /** Handles the complete reply to an attempt. */
    void onReply(EndpointConnection connection, UpstreamRequest attempt, UpstreamReply reply) {
        if (connection.closed) {
            return;
        }
        connection.attempt = null;
        release(connection, reply.reusable());
        end(attempt, reply);
    }

    /**
     * Handles the start of a reply with a long value: the attempt ends, and its connection stays in use for
     * the client's response.
     */
    void onStreamedReply(EndpointConnection connection, UpstreamRequest attempt, UpstreamReply reply) {
        if (!connection.closed) {
            connection.attempt = null;
            end(attempt, reply);
        }
    }

    /** Ends an attempt because there is no memory for its reply, which the endpoint has begun to send. */
    void onReplyWithoutMemory(UpstreamRequest attempt) {
        environment.log.warn("memory budget exhausted, reply given up", "endpoint=" + name + " " + attempt);
        closeConnection(attempt);
        end(attempt, withoutReply(Outcome.CANCELLED));
    }

    /** Returns the memory of what is received of replies before it is forwarded. */
    ReplyMemory replyMemory() {
        return environment.replyMemory;
    }

    /** Handles an established connection whose attempt must not be sent: the next attempt may use it. */
    void onNotSent(EndpointConnection connection, UpstreamRequest attempt, Outcome obstacle) {
        connection.attempt = null;
        attempt.connection = null;
        release(connection, true);
        end(attempt, withoutReply(obstacle));
    }

    /** Keeps a connection without an attempt idle if it may be reused, or else closes it. */
    void release(EndpointConnection connection, boolean reusable) {
        if (reusable && acceptsRequests() && connection.incarnation == incarnation) {
            idle.add(connection);
        } else {
            connection.close();
        }
    }

    /** Handles a connection that ended, was lost or could not be opened. */
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

    /** Logs the failure to open a socket and releases its descriptor. */
    void onSocketFailure(IOException failure) {
        environment.log.warn("socket to endpoint not opened",
            "endpoint=" + name + " error=" + failure.getMessage());
        environment.descriptors.releaseFromEndpoint();
    }

    /** Logs a malformed reply of the endpoint. */
    void onMalformedReply(String fault) {
        environment.log.warn("invalid response", "endpoint=" + name + " reason=" + fault);
    }
}
