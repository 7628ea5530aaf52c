package spurroad.control.distribution.support;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import spurroad.control.Trace;
import spurroad.control.distribution.core.ControlMachine;
import spurroad.control.distribution.publish.Publisher;
import spurroad.control.distribution.relay.Relay;
import spurroad.control.distribution.replication.RaftReplica;
import spurroad.control.distribution.state.ConfigurationEntry;
import spurroad.control.distribution.state.ConfigurationState;
import spurroad.control.distribution.state.Freshness;
import spurroad.control.distribution.state.PurgeLog;
import spurroad.control.distribution.subscribe.Subscriber;

/** Writes the observable state of distribution processes into a trace. */
public final class StateTrace {
    private StateTrace() {}

    public static void machine(Trace trace, long nowNanos, ControlMachine machine) {
        replica(trace, nowNanos, machine.replica());
        publisher(trace, machine.publisher());
    }

    public static void replica(Trace trace, long nowNanos, RaftReplica replica) {
        trace.part('C').flag(replica.isLeader());
        MessageTrace.process(trace, replica.leader());
        trace.flag(replica.isConnected(nowNanos)).number(replica.lastAppliedTerm())
            .number(replica.commitIndex());
        data(trace, nowNanos, replica.configuration(), replica.purges(), replica.freshness());
    }

    public static void relay(Trace trace, long nowNanos, Relay relay) {
        trace.part('Y').flag(relay.isRelay());
        subscriber(trace, nowNanos, relay.subscriber());
        publisher(trace, relay.publisher());
    }

    public static void subscriber(Trace trace, long nowNanos, Subscriber subscriber) {
        trace.part('B').flag(subscriber.isAttached());
        MessageTrace.process(trace, subscriber.parent());
        trace.number(subscriber.term()).number(subscriber.subscribeCount())
            .number(subscriber.nextTimerNanos());
        data(trace, nowNanos, subscriber.configuration(), subscriber.purges(), subscriber.freshness());
    }

    public static void publisher(Trace trace, Publisher publisher) {
        trace.part('W').number(publisher.childCount()).number(publisher.nextFlushNanos());
    }

    private static void data(Trace trace, long nowNanos, ConfigurationState configuration, PurgeLog purges,
                             Freshness freshness) {
        trace.number(configuration.sequence()).number(configuration.size())
            .flag(configuration.isInitialized())
            .number(purges.lastNumber()).number(purges.startNumber()).number(freshness.ageMillis(nowNanos))
            .flag(freshness.isFresh(nowNanos));
    }

    /** Writes all entries sorted by key, because the state has no defined order. */
    public static void entries(Trace trace, ConfigurationState configuration) {
        List<ConfigurationEntry> entries = new ArrayList<>();
        configuration.entries().forEach(entries::add);
        entries.sort(Comparator.comparing((ConfigurationEntry entry) -> entry.key().region())
            .thenComparing(entry -> entry.key().name()));
        entries.forEach(entry -> MessageTrace.entry(trace, entry));
    }
}
