package spurroad.testbed.scenario;

import java.util.ArrayList;
import java.util.List;
import spurroad.model.Effect;

/**
 * One experiment: the servers, the load on them, the faults, and the rules that proxies are checked against.
 * All times are in nanoseconds; those of faults count from the beginning of the load.
 *
 * @param warmNs requests due before this time are not counted
 * @param lengthNs how long requests are due, the part that is not counted included
 */
public record Scenario(String name, String about, long warmNs, long lengthNs, World world, Load load,
                       List<Fault> faults, Rules rules, List<Long> seeds) {
    /**
     * The servers and the proxies.
     *
     * @param cores of each proxy
     * @param listNs how long a change of the endpoint list takes to reach a proxy
     * @param oneWayNs latency of a message; in simulated time only
     */
    public record World(int proxies, double cores, int memoryMb, int sockets, List<NodeGroup> nodes,
                        Service origin, long listNs, long oneWayNs) {
        /** Returns the ids of all cache nodes, in order. */
        public List<String> uids() {
            List<String> uids = new ArrayList<>();
            for (NodeGroup g : nodes) {
                for (int i = 0; i < g.count; i++) {
                    uids.add(g.uid(i));
                }
            }
            return uids;
        }

        /** Returns the zones of all cache nodes, each once, in the file's order. */
        public List<String> zones() {
            return nodes.stream().map(NodeGroup::zone).distinct().toList();
        }

        /** Returns the kinds of all cache nodes, each once, in the file's order. */
        public List<String> kinds() {
            return nodes.stream().map(NodeGroup::kind).distinct().toList();
        }
    }

    /**
     * How a server serves: so many requests at once, each for a random time; a bounded queue waits.
     *
     * @param meanNs of the time at speed one
     * @param spread of the time: 0 always the same, 1 as an exponential one
     */
    public record Service(int slots, int queue, long meanNs, double spread) {}

    /**
     * Cache nodes that are alike.
     *
     * @param keys largest number that a node caches
     * @param keepNs time to live of a cached value
     * @param connections largest number that a node accepts
     * @param connectNs service time that a new connection costs the node
     * @param reportNs largest age of the load that a node reports
     * @param warmUpNs duration of the slow start, after which a node has its full speed
     * @param startShare fraction of its speed with which a node starts
     */
    public record NodeGroup(String name, int count, String zone, String kind, double weight, double speed,
                            Service service, int keys, long keepNs, int connections, long connectNs,
                            long reportNs,
                            long warmUpNs, double startShare) {
        /** Returns the id of a node of the group, by its number from 0 on. */
        public String uid(int i) {
            return name + "-" + i;
        }
    }

    /**
     * The load of all clients.
     *
     * @param perSecond requests that are due a second
     * @param keys how many there are
     * @param zipf exponent of their popularity; 0 for all alike
     * @param drift ranks a second by which popularity shifts over the keys
     * @param connections largest number that clients open to each proxy
     * @param longPart fraction of the values that have longBytes
     */
    public record Load(double perSecond, int keys, double zipf, double drift, int connections, int valueBytes,
                       double longPart, int longBytes, List<Customer> customers, List<Track> tracks,
                       Clients clients) {}

    /**
     * A tenant.
     *
     * @param part fraction of all requests
     * @param share quota in requests a second
     */
    public record Customer(String name, double part, double share) {}

    /**
     * A request class.
     *
     * @param part fraction of all requests
     * @param timeoutNs statement timeout of each attempt
     * @param dedupNs how long the origin remembers the idempotency key of a write
     * @param late value of a late answer, as a fraction of one in time
     */
    public record Track(String name, double part, Effect effect, boolean write, long sloNs, long timeoutNs,
                        long dedupNs, double importance, double late) {}

    /** When a client retries a rejected request. */
    public enum Retry { AS_TOLD, AT_ONCE, SPREAD }

    /**
     * How clients behave.
     *
     * @param tries largest number of attempts of a request
     * @param patienceNs how long a client waits over all attempts
     */
    public record Clients(int tries, Retry retry, long patienceNs) {}

    /**
     * A fault that is injected.
     *
     * @param targets ids of cache nodes, zones or proxies, by the kind
     * @param factor strength of the fault; 1 where the kind has none
     */
    public record Fault(FaultKind kind, long atNs, long forNs, List<String> targets, double factor) {}

    /**
     * The limits of the rules.
     *
     * @param graceNs after which no attempt may reach a node that the proxy knows to be draining or removed
     * @param answerNs how much later than its statement timeout an answer may be
     * @param unanswered whether a request without an answer at that time violates a rule, or only failed
     * @param lateNs lateness of the test bed itself at the 99th percentile, above which the run is void
     */
    public record Rules(long graceNs, long answerNs, boolean unanswered, long lateNs) {}
}
