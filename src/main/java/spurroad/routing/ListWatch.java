package spurroad.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import spurroad.protocol.ByteSource;
import spurroad.protocol.Http;
import spurroad.protocol.Json;
import spurroad.protocol.Members;
import spurroad.protocol.ProtocolException;
import spurroad.start.ProxyStart;
import spurroad.transport.Actor;
import spurroad.transport.Connection;
import spurroad.transport.EventLog;
import spurroad.transport.Threads;

/** The list's actor: keeps its revision and one watch, or two while discovery moves. */
public final class ListWatch extends Actor implements Decider.Follow {
    private static final int MAILBOX = 1024; // messages; one for each line of a watch
    private static final int SILENT_MS = 7_000; // ms; three beats of a watch and one more half
    private static final int CONNECT_MS = 2_000; // ms; one beat
    private static final int OK = 200;

    private final Members.Names names;
    private final Decider decider;
    private InetSocketAddress discovery;
    private long revision;
    private Watch current, former;

    public ListWatch(ProxyStart start, Threads threads, EventLog log, Decider decider) {
        super(threads, log, MAILBOX);
        discovery = start.discovery;
        names = start.figures.names;
        revision = start.known.revision();
        this.decider = decider;
    }

    @Override
    public String toString() {
        return "list";
    }

    @Override
    public void follow() {
        tell(() -> {
            if (current == null) {
                begin();
            }
        });
    }

    /** Discovery is reached elsewhere from now on; the watch that there is goes on until the new one has spoken. */
    public void moved(InetSocketAddress to) {
        tell(() -> {
            discovery = to;
            if (current != null && current.spoke) {
                endFormer();
                former = current;
            } else if (current != null) {
                current.connection.close();
            }
            begin();
        });
    }

    private void begin() {
        current = new Watch(discovery, revision);
        threads.start("list", current);
    }

    private void endFormer() {
        if (former != null) {
            former.connection.close();
            former = null;
        }
    }

    private void heard(Watch from, Members list) {
        if (from != current && from != former) {
            return; // a later watch has told more
        }
        if (from == current) {
            from.spoke = true;
            endFormer();
        }
        revision = list.revision();
        log.event("the list changed", "revision " + revision + ", " + list.members().size() + " entries"
            + (list.whole() ? ", whole" : ""));
        decider.listed(list);
    }

    private void ended(Watch watch, String why) {
        if (watch == former) {
            former = null;
        } else if (watch == current) {
            current = null;
            log.trouble("the list can't be followed for now", why);
            decider.listFailed();
        }
    }

    /** One call to discovery, on a thread of its own, which owns its socket; the actor may close that earlier. */
    private final class Watch implements Runnable {
        private final Connection connection = new Connection(new Socket(), () -> { });
        private final InetSocketAddress at;
        private final long since;
        // the actor's
        private boolean spoke;

        private Watch(InetSocketAddress at, long since) {
            this.at = at;
            this.since = since;
        }

        @Override
        public void run() {
            String why = "it ended";
            try {
                connection.connect(at, CONNECT_MS);
                connection.mostSilence(SILENT_MS);
                String host = at.getHostString() + ":" + at.getPort();
                connection.write(Http.get("/catalog/members?follow=1&since=" + since, host));
                ByteSource in = new ByteSource(connection.in());
                Http.Head head = Http.head(in);
                if (head.status() != OK) {
                    throw new ProtocolException("answered " + head.status());
                }
                ByteSource lines = Http.stream(in, head);
                for (String line = Http.listLine(lines); line != null; line = Http.listLine(lines)) {
                    if (!line.isBlank()) {
                        Members list = Members.read(Json.read(line), names);
                        tell(() -> heard(this, list));
                    }
                }
            } catch (IOException e) {
                why = e.toString();
            } finally {
                connection.end();
            }
            String because = why;
            tell(() -> ended(this, because));
        }
    }
}
