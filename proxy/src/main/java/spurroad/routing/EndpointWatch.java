package spurroad.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Random;
import spurroad.configuration.ProxyConfiguration;
import spurroad.protocol.ByteSource;
import spurroad.protocol.EndpointList;
import spurroad.protocol.Http;
import spurroad.protocol.Json;
import spurroad.protocol.ProtocolException;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;
import spurroad.transport.Threads;

/**
 * Watches discovery's endpoint list: tracks its revision and keeps one watch open. Two watches are open while
 * discovery's address changes, a watch has stalled or a call is unanswered: the older watch stays open beside
 * the next call, because its next line may arrive at any moment. If lists are pushed, an agent that is close
 * and serves this proxy alone provides them: the list is watched from the start and polled again soon.
 * Otherwise the list is watched once the load balancer asks for it. Used on the event loop, unless a method
 * says otherwise.
 */
public final class EndpointWatch implements LoadBalancerThread.DiscoveryPoller {
    /** Longer than any timer; bounds the time for which a thread outlives its socket. */
    private static final int SOCKET_TIMEOUT_MILLIS = 10_000;
    private static final int OK = 200;
    private static final Runnable NO_ACTION = () -> {};

    private final EndpointList.EndpointNames names;
    private final Threads threads;
    private final EventLoop loop;
    private final EventLog log;
    private final LoadBalancerThread loadBalancer;
    private final boolean pushed;
    private final DiscoveryTiming timing;
    private InetSocketAddress discovery;
    private long revision;
    private long lastContactNanos = EndpointStartTimes.NEVER; // last line, even one without a change
    private Watch current;
    private Watch previous;
    private Runnable onFirstList = NO_ACTION;
    private EventLoop.Timer nextPoll = () -> {};
    private boolean closed;

    /** Creates a watch that makes no call until it is polled. */
    public EndpointWatch(ProxyConfiguration configuration, Threads threads, EventLoop loop, EventLog log,
                         LoadBalancerThread loadBalancer) {
        this.threads = threads;
        this.loop = loop;
        this.log = log;
        this.loadBalancer = loadBalancer;
        discovery = configuration.discoveryAddress;
        names = configuration.settings.endpointNames;
        revision = configuration.initialEndpoints.revision();
        pushed = !configuration.settings.deployment.pollsDiscovery();
        timing = new DiscoveryTiming(pushed, configuration.settings.maxPollIntervalNanos,
            new Random(configuration.seed));
    }

    /** Returns whether lists are pushed, so that a process must know the current list from its start. */
    public boolean isPushed() {
        return pushed;
    }

    /** Starts to watch; runs the callback on the loop after the first list. May be called by any thread. */
    public void startWatching(Runnable callback) {
        loop.execute(() -> onFirstList = callback);
        poll();
    }

    /** Starts to watch unless a watch is open. May be called by any thread. */
    @Override
    public void poll() {
        loop.execute(() -> {
            if (current == null) {
                open(timing.callTimeoutNanos());
            }
        });
    }

    /**
     * Switches to a new address of discovery; the current watch stays open until the new one has received a
     * line. May be called by any thread.
     */
    public void onDiscoveryMoved(InetSocketAddress newAddress) {
        loop.execute(() -> {
            discovery = newAddress;
            if (current != null && current.hasReceivedLine) {
                openBesideCurrent(timing.callTimeoutNanos());
                return;
            }
            if (current != null) {
                current.close();
            }
            open(timing.callTimeoutNanos());
        });
    }

    /** Opens a watch beside the current one, which stays open until the new one has received a line. */
    private void openBesideCurrent(long timeoutNanos) {
        closePrevious();
        previous = current;
        open(timeoutNanos);
    }

    /** Closes the watches and prevents new ones. Must be called on the event loop. */
    public void close() {
        closed = true;
        closePrevious();
        if (current != null) {
            current.close();
        }
    }

    /** Opens a watch whose first line must arrive within the given time. */
    private void open(long timeoutNanos) {
        nextPoll.cancel();
        if (closed) {
            return;
        }
        Watch watch = new Watch(discovery, revision);
        current = watch;
        watch.expectLine(timeoutNanos);
        try {
            threads.start("endpoint watch", watch);
        } catch (OutOfMemoryError e) { // no thread can be started at present: handled as a failed call
            loop.execute(() -> onEnd(watch, e.getMessage()));
        }
    }

    private void closePrevious() {
        if (previous != null) {
            previous.close();
            previous = null;
        }
    }

    /** Handles a line that a watch received; the list is null if the line reports no change. */
    private void onLine(Watch watch, EndpointList list) {
        if (watch != current && watch != previous) {
            return; // superseded by a later watch, which has newer lines
        }
        if (watch == previous && !watch.hasReceivedLine && watch.address.equals(discovery)) {
            makeCurrent(watch);
        }
        if (watch == current) {
            watch.hasReceivedLine = true;
            closePrevious();
        }
        watch.stalled = false;
        watch.expectLine(timing.stallTimeoutNanos());
        if (list != null) {
            onList(list);
        }
        lastContactNanos = loop.now();
    }

    private void onList(EndpointList list) {
        revision = list.revision();
        log.info("endpoint list changed", "revision=" + revision + " entries=" + list.endpoints().size()
            + " complete=" + list.isComplete());
        loadBalancer.onEndpointUpdate(list, lastContactNanos);
        onFirstList.run();
        onFirstList = NO_ACTION;
    }

    /**
     * Makes the previous watch current again because its first line arrived after all, later than its
     * timeout. Closes the call that was started beside it.
     */
    private void makeCurrent(Watch answered) {
        nextPoll.cancel();
        if (current != null) {
            current.close();
        }
        current = answered;
        previous = null;
    }

    /** Handles a watch that received no complete line in time, even if it received part of one. */
    private void onStall(Watch watch) {
        watch.stalled = true;
        if (watch != current) {
            watch.close();
            onEnd(watch, "no line received in time"); // its thread may notice the close later
            return;
        }
        log.warn(watch.hasReceivedLine ? "discovery watch silent, polling again"
            : "discovery poll unanswered, polling again", "revision=" + revision);
        if (!watch.hasReceivedLine && previous != null && !previous.stalled) {
            watch.close(); // the watch at the previous address still works: keep that one
            open(timing.callTimeoutNanos());
            return;
        }
        openBesideCurrent(
            watch.hasReceivedLine ? timing.callTimeoutAfterStallNanos(watch.timeoutNanos)
                : timing.callTimeoutNanos());
        watch.expectLine(timing.callTimeoutNanos()); // kept beside the call in case its line is only late
    }

    private void onEnd(Watch watch, String reason) {
        watch.stallTimer.cancel();
        if (watch == previous) {
            previous = null;
        } else if (watch == current) {
            current = null;
            log.warn("discovery failed, backing off", "reason=" + reason);
            // the load balancer's backoff ignores the configured poll interval
            nextPoll.cancel();
            nextPoll = loop.schedule(timing.pauseNanos(), this::poll);
            if (!pushed) {
                loadBalancer.onDiscoveryFailure();
            }
        }
    }

    /** A call to discovery on a thread of its own, which owns the socket; other threads may close it. */
    private final class Watch implements Runnable {
        private final Socket socket = new Socket();
        private final InetSocketAddress address;
        private final long sinceRevision;
        // the fields below are used on the event loop only
        private boolean hasReceivedLine; // while this watch was the current one
        private boolean stalled;
        private long timeoutNanos; // from the last line, or from the start, until the watch counts as stalled
        private EventLoop.Timer stallTimer = () -> {};

        private Watch(InetSocketAddress address, long sinceRevision) {
            this.address = address;
            this.sinceRevision = sinceRevision;
        }

        /** Sets the time within which the next line must arrive. */
        private void expectLine(long withinNanos) {
            stallTimer.cancel();
            timeoutNanos = withinNanos;
            if (this == current || this == previous) {
                stallTimer = loop.schedule(withinNanos, () -> onStall(this));
            }
        }

        @Override
        public void run() {
            String end = "end of stream";
            try {
                readLines(call());
            } catch (IOException e) {
                end = e.toString();
            } finally {
                close();
            }
            String reason = end;
            loop.execute(() -> onEnd(this, reason));
        }

        /** Calls discovery and returns the body of its response. */
        private ByteSource call() throws IOException {
            socket.connect(address, timing.connectTimeoutMillis());
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            String host = address.getHostString() + ":" + address.getPort();
            String path = "/catalog/members?follow=1&since=" + sinceRevision;
            socket.getOutputStream().write(Http.get(path, host));
            ByteSource response = new ByteSource(socket.getInputStream(), SOCKET_TIMEOUT_MILLIS);
            Http.Head head = Http.readFinalHead(response);
            if (head.status() != OK) {
                throw new ProtocolException("answered " + head.status());
            }
            // if nothing has changed, the first line is a heartbeat
            loop.execute(() -> expectLine(timing.stallTimeoutNanos()));
            return Http.bodyStream(response, head);
        }

        private void readLines(ByteSource body) throws IOException {
            for (String text = Http.readListText(body); text != null; text = Http.readListText(body)) {
                EndpointList list = text.isBlank() ? null : EndpointList.read(Json.read(text), names);
                loop.execute(() -> onLine(this, list));
            }
        }

        /** Closes the socket. May be called by any thread. */
        private void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // the socket counts as closed even after a failed close
            }
        }
    }
}
