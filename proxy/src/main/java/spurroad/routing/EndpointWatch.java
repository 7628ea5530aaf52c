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
 * Watches the endpoint list at discovery: keeps its revision and one watch. There are two watches while
 * discovery moves, a watch has fallen silent or a call has no answer: the older one is kept beside the next
 * call, as what it waits for may come at any moment. Where lists are pushed, their agent is close and serves
 * this proxy alone: there the list is watched from the start and polled again soon. Elsewhere it is watched
 * when the load balancer asks for it. Used on the event loop, except where a method says otherwise.
 */
public final class EndpointWatch implements LoadBalancerThread.DiscoveryPoller {
    /** Longer than any timer: no thread outlives its socket for long. */
    private static final int SOCKET_TIMEOUT_MILLIS = 10_000;
    private static final int OK = 200;
    private static final Runnable NOTHING = () -> {};

    private final EndpointList.EndpointNames names;
    private final Threads threads;
    private final EventLoop loop;
    private final EventLog log;
    private final LoadBalancerThread loadBalancer;
    private final boolean pushed;
    private final DiscoveryTiming timing;
    private InetSocketAddress discovery;
    private long revision;
    private long lastContactNanos = EndpointStartTimes.NEVER; // the last line, be it of no change
    private Watch current;
    private Watch previous;
    private Runnable onFirstList = NOTHING;
    private EventLoop.Timer nextPoll = () -> {};
    private boolean closed;

    /** Calls nobody until it is polled. */
    public EndpointWatch(ProxyConfiguration start, Threads threads, EventLoop loop, EventLog log,
                         LoadBalancerThread loadBalancer) {
        this.threads = threads;
        this.loop = loop;
        this.log = log;
        this.loadBalancer = loadBalancer;
        discovery = start.discoveryAddress;
        names = start.settings.endpointNames;
        revision = start.initialEndpoints.revision();
        pushed = !start.settings.deployment.pollsDiscovery();
        timing = new DiscoveryTiming(pushed, start.settings.maxPollIntervalNanos, new Random(start.seed));
    }

    /** Whether lists are pushed: what there is to know counts from the first moment of a process on. */
    public boolean pushed() {
        return pushed;
    }

    /** Begins to watch; runs the callback, on the loop, once the first list has come. From any thread. */
    public void begin(Runnable heard) {
        loop.execute(() -> onFirstList = heard);
        poll();
    }

    /** Begins to watch unless there is a watch. From any thread. */
    @Override
    public void poll() {
        loop.execute(() -> {
            if (current == null) {
                open(timing.callTimeoutNanos());
            }
        });
    }

    /**
     * Discovery has another address from now on; the watch that there is goes on until the new one has
     * spoken. From any thread.
     */
    public void moved(InetSocketAddress to) {
        loop.execute(() -> {
            discovery = to;
            if (current != null && current.hasSpoken) {
                openBesideCurrent(timing.callTimeoutNanos());
                return;
            }
            if (current != null) {
                current.close();
            }
            open(timing.callTimeoutNanos());
        });
    }

    /** Opens a watch beside the current one, which is kept until the new one has spoken. */
    private void openBesideCurrent(long timeoutNanos) {
        closePrevious();
        previous = current;
        open(timeoutNanos);
    }

    /** Ends the watches, and opens none any more. On the event loop. */
    public void close() {
        closed = true;
        closePrevious();
        if (current != null) {
            current.close();
        }
    }

    /** Opens a watch whose first line is to come within the time. */
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
        } catch (OutOfMemoryError e) { // the system has no thread for now: as a call that failed
            loop.execute(() -> onEnd(watch, e.getMessage()));
        }
    }

    private void closePrevious() {
        if (previous != null) {
            previous.close();
            previous = null;
        }
    }

    /** A watch has received a line; the list is null where the line says that nothing has changed. */
    private void onLine(Watch watch, EndpointList list) {
        if (watch != current && watch != previous) {
            return; // a later watch has told more
        }
        if (watch == previous && !watch.hasSpoken && watch.address.equals(discovery)) {
            makeCurrent(watch);
        }
        if (watch == current) {
            watch.hasSpoken = true;
            closePrevious();
        }
        watch.silent = false;
        watch.expectLine(timing.silenceNanos());
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
        onFirstList = NOTHING;
    }

    /**
     * A call that had no answer in time has got it after all: the one that was begun beside it is not needed.
     */
    private void makeCurrent(Watch late) {
        nextPoll.cancel();
        if (current != null) {
            current.close();
        }
        current = late;
        previous = null;
    }

    /** A watch has received no whole line for too long, whatever has trickled in. */
    private void onSilence(Watch watch) {
        watch.silent = true;
        if (watch != current) {
            watch.close();
            onEnd(watch, "nothing came"); // not left to its thread, which may notice later
            return;
        }
        log.warn(watch.hasSpoken ? "discovery watch silent, polling again"
            : "discovery poll unanswered, polling again", "revision=" + revision);
        if (!watch.hasSpoken && previous != null && !previous.silent) {
            watch.close(); // the watch at the previous address is the better one to keep
            open(timing.callTimeoutNanos());
            return;
        }
        openBesideCurrent(
            watch.hasSpoken ? timing.callTimeoutAfterSilenceNanos(watch.timeoutNanos)
                : timing.callTimeoutNanos());
        watch.expectLine(timing.callTimeoutNanos()); // beside the call, in case it is only late
    }

    private void onEnd(Watch watch, String why) {
        watch.silenceTimer.cancel();
        if (watch == previous) {
            previous = null;
        } else if (watch == current) {
            current = null;
            log.warn("discovery failed, backing off", "reason=" + why);
            // the load balancer's backoff does not know the poll interval of the settings
            nextPoll.cancel();
            nextPoll = loop.schedule(timing.pauseNanos(), this::poll);
            if (!pushed) {
                loadBalancer.onDiscoveryFailure();
            }
        }
    }

    /** One call to discovery, on a thread of its own, which owns its socket; that may be closed earlier. */
    private final class Watch implements Runnable {
        private final Socket socket = new Socket();
        private final InetSocketAddress address;
        private final long sinceRevision;
        // the loop's
        private boolean hasSpoken; // while it was the current one
        private boolean silent;
        private long timeoutNanos; // from its last line, or its beginning, until it counts as silent
        private EventLoop.Timer silenceTimer = () -> {};

        private Watch(InetSocketAddress address, long sinceRevision) {
            this.address = address;
            this.sinceRevision = sinceRevision;
        }

        /** The next line is to come within the time. */
        private void expectLine(long withinNanos) {
            silenceTimer.cancel();
            timeoutNanos = withinNanos;
            if (this == current || this == previous) {
                silenceTimer = loop.schedule(withinNanos, () -> onSilence(this));
            }
        }

        @Override
        public void run() {
            String end = "it ended";
            try {
                readLines(call());
            } catch (IOException e) {
                end = e.toString();
            } finally {
                close();
            }
            String why = end;
            loop.execute(() -> onEnd(this, why));
        }

        /** Calls discovery; returns the body of its response. */
        private ByteSource call() throws IOException {
            socket.connect(address, timing.connectTimeoutMillis());
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            String host = address.getHostString() + ":" + address.getPort();
            String path = "/catalog/members?follow=1&since=" + sinceRevision;
            socket.getOutputStream().write(Http.get(path, host));
            ByteSource response = new ByteSource(socket.getInputStream());
            Http.Head head = Http.readFinalHead(response);
            if (head.status() != OK) {
                throw new ProtocolException("answered " + head.status());
            }
            // the first line comes after a heartbeat where nothing has changed
            loop.execute(() -> expectLine(timing.silenceNanos()));
            return Http.bodyStream(response, head);
        }

        private void readLines(ByteSource body) throws IOException {
            for (String text = Http.readListText(body); text != null; text = Http.readListText(body)) {
                EndpointList list = text.isBlank() ? null : EndpointList.read(Json.read(text), names);
                loop.execute(() -> onLine(this, list));
            }
        }

        /** From any thread. */
        private void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // it is closed all the same
            }
        }
    }
}
