package spurroad.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
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

/** The list's actor: keeps its revision and at most one watch, which a thread of its connection reads. */
public final class ListWatch extends Actor implements Decider.Follow {
    private static final int MAILBOX = 1024; // messages; one for each line of a watch
    private static final int SILENT_MS = 7_000; // ms; three beats of a watch and one more half
    private static final int CONNECT_MS = 2_000; // ms; one beat
    private static final int OK = 200;

    private final InetSocketAddress discovery;
    private final Members.Names names;
    private final Threads threads;
    private final EventLog log;
    private final Decider decider;
    private long revision;
    private boolean watching;

    public ListWatch(ProxyStart start, Threads threads, EventLog log, Decider decider) {
        super(threads, log, MAILBOX);
        discovery = start.discovery;
        names = start.figures.names;
        revision = start.known.revision();
        this.threads = threads;
        this.log = log;
        this.decider = decider;
    }

    @Override
    public String toString() {
        return "list";
    }

    @Override
    public void follow() {
        tell(() -> {
            if (!watching) {
                watching = true;
                long since = revision;
                threads.start("list", () -> watch(since));
            }
        });
    }

    /** On a thread of the watch's own, which owns its socket. */
    private void watch(long since) {
        Connection connection = new Connection(() -> { });
        String why = "it ended";
        try {
            connection.connect(discovery, CONNECT_MS);
            connection.mostSilence(SILENT_MS);
            String host = discovery.getHostString() + ":" + discovery.getPort();
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
                    tell(() -> heard(list));
                }
            }
        } catch (IOException e) {
            why = e.toString();
        } finally {
            connection.end();
        }
        String because = why;
        tell(() -> failed(because));
    }

    private void heard(Members list) {
        revision = list.revision();
        log.event("the list changed", "revision " + revision + ", " + list.members().size() + " entries"
            + (list.whole() ? ", whole" : ""));
        decider.listed(list);
    }

    private void failed(String why) {
        watching = false;
        log.trouble("the list can't be followed for now", why);
        decider.listFailed();
    }
}
