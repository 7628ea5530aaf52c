package spurroad.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Random;
import spurroad.protocol.ByteSource;
import spurroad.protocol.Http;
import spurroad.protocol.Json;
import spurroad.protocol.Members;
import spurroad.protocol.ProtocolException;
import spurroad.start.ProxyStart;
import spurroad.transport.EventLog;
import spurroad.transport.Loop;
import spurroad.transport.Threads;

/**
 * The list, worked on the loop: keeps its revision and one watch, or two while discovery moves or a watch is
 * silent. Where lists are pushed, whoever pushes them is close and not asked by others: there it is followed
 * from the start and asked again soon. Elsewhere it is followed when the module says so.
 */
public final class ListWatch implements Decider.Follow {
    // A watch says something every 2 s, and what a silent one misses counts as told 6 s after it fell silent. By these
    // figures it is asked anew 2.6 to 3.4 s after its last line, which leaves as long for the answer. By 7 s drains
    // that followed upon a silence were learned of too late (restless days, all watches silent at once).
    private static final long SILENT_NS = 2_600_000_000L; // ns; a beat and a third; a call too many costs little
    private static final long SPREAD_NS = 800_000_000L; // ns; of that: the watches of all proxies fall silent at once
    private static final long CALL_NS = 4_000_000_000L; // ns; until the first line: discovery answers calls in turn
    private static final long PUSHED_NS = 100_000_000L; // ns; between calls where lists are pushed
    private static final double ASK_SHARE = 0.4; // of the time that the settings give for asking: the call takes some
    private static final int CONNECT_MS = 2_000; // ms; one beat
    private static final int THREAD_MS = 10_000; // ms; longer than any alarm: no thread outlives a socket for long
    private static final int OK = 200;
    private static final Runnable NOTHING = () -> {};

    private final Members.Names names;
    private final Threads threads;
    private final Loop loop;
    private final EventLog log;
    private final Decider decider;
    private final boolean pushed;
    private final long longestPauseNs;
    private final Random random;
    // the loop's
    private InetSocketAddress discovery;
    private long revision;
    private Watch current, former;
    private Runnable firstList = NOTHING;
    private Loop.Alarm again = () -> {}; // the next call at the latest

    public ListWatch(ProxyStart start, Threads threads, Loop loop, EventLog log, Decider decider) {
        this.threads = threads;
        this.loop = loop;
        this.log = log;
        this.decider = decider;
        discovery = start.discovery;
        names = start.figures.names;
        revision = start.known.revision();
        pushed = !start.figures.deployment.mustAsk();
        longestPauseNs = pushed ? PUSHED_NS : (long) (ASK_SHARE * start.figures.askWithinNs);
        random = new Random(start.seed);
    }

    /** Whether lists are pushed: what there is to know counts from the first moment of a process on. */
    public boolean pushed() {
        return pushed;
    }

    /** Follows the list; whoever asked is told, on the loop, once the first has come. */
    public void begin(Runnable heard) {
        loop.tell(() -> firstList = heard);
        follow();
    }

    @Override
    public void follow() {
        loop.tell(() -> {
            if (current == null) {
                call();
            }
        });
    }

    /**
     * Discovery is reached elsewhere from now on; the watch that there is goes on until the new one has
     * spoken.
     */
    public void moved(InetSocketAddress to) {
        loop.tell(() -> {
            discovery = to;
            callAnew();
        });
    }

    private void callAnew() {
        if (current != null && current.spoke) {
            endFormer();
            former = current;
        } else if (current != null) {
            current.close();
        }
        call();
    }

    private void call() {
        again.cancel();
        current = new Watch(discovery, revision);
        current.listen(CALL_NS);
        threads.start("list", current);
    }

    private void endFormer() {
        if (former != null) {
            former.close();
            former = null;
        }
    }

    /** A line has come whole; null where it says nothing. */
    private void heard(Watch from, Members list) {
        if (from != current && from != former) {
            return; // a later watch has told more
        }
        if (from == current) {
            from.spoke = true;
            endFormer();
        }
        from.listen(silentNs());
        if (list != null) {
            revision = list.revision();
            log.event("the list changed", "revision " + revision + ", " + list.members().size() + " entries"
                + (list.whole() ? ", whole" : ""));
            decider.listed(list);
            firstList.run();
            firstList = NOTHING;
        }
    }

    private long silentNs() {
        return SILENT_NS + (long) (random.nextDouble() * SPREAD_NS);
    }

    /** No whole line for too long, whatever has trickled in. */
    private void silent(Watch watch) {
        if (watch == current && watch.spoke) {
            log.trouble("a watch on the list has fallen silent", "asked anew, since revision " + revision);
            callAnew();
            watch.listen(CALL_NS); // beside the call, in case it is only late
        } else {
            watch.close();
            ended(watch, "nothing came"); // not left to its thread, which may hear of that later
        }
    }

    private void ended(Watch watch, String why) {
        watch.alarm.cancel();
        if (watch == former) {
            former = null;
        } else if (watch == current) {
            current = null;
            log.trouble("the list can't be followed for now", why);
            // the module's pauses grow to 12 s; that discovery is back counts anew, and in less time than that elsewhere
            again.cancel();
            again = loop.after((long) ((0.5 + random.nextDouble()) * longestPauseNs), this::follow);
            if (!pushed) {
                decider.listFailed();
            }
        }
    }

    /** One call to discovery, on a thread of its own, which owns its socket; that may be closed earlier. */
    private final class Watch implements Runnable {
        private final Socket socket = new Socket();
        private final InetSocketAddress at;
        private final long since;
        // the loop's
        private boolean spoke;
        private Loop.Alarm alarm = () -> {};

        private Watch(InetSocketAddress at, long since) {
            this.at = at;
            this.since = since;
        }

        /** The next line is to come within the time. */
        private void listen(long ns) {
            alarm.cancel();
            if (this == current || this == former) {
                alarm = loop.after(ns, () -> silent(this));
            }
        }

        @Override
        public void run() {
            String why = "it ended";
            try {
                socket.connect(at, CONNECT_MS);
                socket.setSoTimeout(THREAD_MS);
                String host = at.getHostString() + ":" + at.getPort();
                socket.getOutputStream().write(Http.get("/catalog/members?follow=1&since=" + since, host));
                ByteSource in = new ByteSource(socket.getInputStream());
                Http.Head head = Http.head(in);
                if (head.status() != OK) {
                    throw new ProtocolException("answered " + head.status());
                }
                loop.tell(() -> listen(silentNs())); // the first line comes after a beat where nothing has changed
                ByteSource lines = Http.stream(in, head);
                for (String text = Http.listText(lines); text != null; text = Http.listText(lines)) {
                    Members list = text.isBlank() ? null : Members.read(Json.read(text), names);
                    loop.tell(() -> heard(this, list));
                }
            } catch (IOException e) {
                why = e.toString();
            } finally {
                close();
            }
            String because = why;
            loop.tell(() -> ended(this, because));
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
