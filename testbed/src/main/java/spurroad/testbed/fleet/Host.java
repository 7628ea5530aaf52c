package spurroad.testbed.fleet;

import java.util.List;
import spurroad.control.distribution.ProcessId;
import spurroad.control.distribution.core.ControlMachine;
import spurroad.control.distribution.message.Participant;
import spurroad.control.distribution.relay.Relay;
import spurroad.control.distribution.subscribe.Subscriber;

/** One process of the simulated fleet: its place, its participant, and its traffic since the last reset. */
final class Host {
    /** The present role of a process in the distribution tree. */
    enum Role {
        CONTROL, REGION_RELAY, SITE_RELAY, PROXY
    }

    final ProcessId id;
    final int region;
    final int zone;
    final int site; // -1 for a control machine
    boolean isRegionCandidate;
    boolean isSiteCandidate;

    Participant participant; // null while it is down
    long startedAt;
    long wakeAt = Long.MAX_VALUE;
    long readInterval; // of a slow reader; 0 for one that reads at once
    long readAt;
    int nextPurge; // index of the first accepted batch of purges that is not complete here
    boolean hasState;

    final HostTraffic traffic = new HostTraffic();
    boolean isSampled; // whether its processor time is measured

    Host(ProcessId id, int region, int zone, int site) {
        this.id = id;
        this.region = region;
        this.zone = zone;
        this.site = site;
    }

    boolean isUp() {
        return participant != null;
    }

    /** Returns the subscriber that receives for this process; null at a control machine. */
    Subscriber subscriber() {
        if (participant instanceof Relay relay) {
            return relay.subscriber();
        }
        return participant instanceof Subscriber subscriber ? subscriber : null;
    }

    ControlMachine control() {
        return (ControlMachine) participant;
    }

    Role role() {
        if (site < 0) {
            return Role.CONTROL;
        }
        if (participant instanceof Relay relay && relay.isRelay()) {
            return isRegionCandidate ? Role.REGION_RELAY : Role.SITE_RELAY;
        }
        return Role.PROXY;
    }

    int children() {
        if (participant instanceof Relay relay) {
            return relay.publisher().childCount();
        }
        return participant instanceof ControlMachine machine ? machine.publisher().childCount() : 0;
    }

    static List<ProcessId> ids(List<Host> hosts) {
        return hosts.stream().map(host -> host.id).toList();
    }
}
