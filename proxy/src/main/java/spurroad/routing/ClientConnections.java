package spurroad.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spurroad.configuration.DeploymentSettings;
import spurroad.configuration.ProxyConfiguration;
import spurroad.model.Effect;
import spurroad.protocol.MetaCommand;
import spurroad.transport.Connection;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;
import spurroad.transport.Listener;
import spurroad.transport.MemoryBudget;

/**
 * All connections of clients, and what they share: memory budgets, the numbers of request classes and
 * tenants, admission. Closes idle connections, and those with the weakest claims where places are short. Used
 * on the event loop only, except where a method says otherwise.
 */
public final class ClientConnections implements Listener.AcceptHandler {
    /** What a request without a long value holds on its way, generously. */
    static final int REQUEST_BYTES = 8192;
    /** One part in so many of the memory is for requests under way. */
    private static final int REQUEST_MEMORY_SHARE = 8;
    /** One part in so many of that memory is for input read ahead: few clients send so much. */
    private static final int READ_AHEAD_SHARE = 4;
    /** One part in so many of the heap; responses and buffers take more. */
    private static final int HEAP_SHARE = 3;
    /** Connections closed at a shortage, so that it is not one again at once. */
    private static final int CLOSED_PER_SHORTAGE = 4;
    /** One part in so many of the places is a crowd: as many open requests are rare. */
    private static final int CROWD_SHARE = 4;
    /** Between looks at who is idle; some microseconds each. */
    private static final long TIDY_INTERVAL_NANOS = 100_000_000L;
    /** A client that has sent nothing for so long sends seldom. */
    private static final long QUIET_NANOS = 1_000_000_000L;
    private static final long BYTES_PER_MIB = 1 << 20;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private record Candidate(ClientConnection connection, double overdue) {}

    final EventLoop loop;
    final EventLog log;
    final LoadBalancerThread loadBalancer;
    final MemoryBudget requestMemory;
    /** For long values that come in, besides. */
    final MemoryBudget uploadMemory;
    /** For what clients send ahead of their responses beyond the first chunk, besides. */
    final MemoryBudget readAheadMemory;
    final AdmissionController admission;
    final RuleMonitor rules;
    final ClientEventCounters events;
    final RequestIntake intake = new RequestIntake(this);
    /** Requests whose final response has not gone out, by their ids: no two at a time may bear the same. */
    final Map<String, ProxiedRequest> openRequests = new HashMap<>();
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final OutcomeStatistics statistics;
    private final int maxConnections;
    private DeploymentSettings settings;
    private List<OutcomeStatistics.OfClass> statisticsByClass = List.of(); // by number
    private Map<String, Integer> requestClassNumbers; // by name
    private Map<String, Integer> tenantNumbers; // by name
    private volatile int count; // of connections, for other threads
    private volatile boolean handingOver;
    private volatile boolean ending;
    private volatile long configuredTimeoutNanos; // written on the loop
    private volatile long longestTimeoutMillis; // written on the loop
    private volatile long finalDeadlineNanos = Long.MAX_VALUE;

    /** For so many places; registers nothing yet. */
    public ClientConnections(ProxyConfiguration start, EventLoop loop, EventLog log,
                             LoadBalancerThread loadBalancer, int places) {
        this.loop = loop;
        this.log = log;
        this.loadBalancer = loadBalancer;
        maxConnections = places;
        statistics = loadBalancer.outcomeStatistics();
        rules = loadBalancer.rules();
        events = new ClientEventCounters(log, loop.now());
        configure(start.settings);
        long memory = Math.min(start.memoryMb * BYTES_PER_MIB / REQUEST_MEMORY_SHARE,
            Runtime.getRuntime().maxMemory() / HEAP_SHARE);
        requestMemory = new MemoryBudget(
            Math.min(memory, (long) start.settings.maxOpenRequests * REQUEST_BYTES));
        uploadMemory = new MemoryBudget(Math.max(MetaCommand.MOST_VALUE, memory / 2));
        readAheadMemory = new MemoryBudget(memory / READ_AHEAD_SHARE);
        admission = new AdmissionController(start, loop, log, requestMemory, loadBalancer);
        loadBalancer.setAdmissionController(admission);
        loop.execute(this::tidy);
    }

    // ---- settings

    private void configure(DeploymentSettings next) {
        settings = next;
        requestClassNumbers = numbered(next.requestClassNames);
        tenantNumbers = numbered(next.tenantNames);
        statisticsByClass = next.requestClassNames.stream().map(statistics::of).toList();
        configuredTimeoutNanos = next.longestTimeoutNanos;
    }

    private static Map<String, Integer> numbered(List<String> names) {
        Map<String, Integer> numbers = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            numbers.putIfAbsent(names.get(i), i);
        }
        return numbers;
    }

    /**
     * Puts other settings in force, between two commands: what is read from now on is numbered by them, and
     * the load balancer hears of them between what was numbered before and after. From any thread.
     */
    public void deployed(DeploymentSettings next) {
        loop.execute(() -> {
            configure(next);
            admission.configure(next.deployment);
            loadBalancer.onDeploymentChange(next);
        });
    }

    // ---- for the connections

    long now() {
        return loop.now();
    }

    /** The number of the request class that a command names; -1 where there is none such. */
    int requestClass(MetaCommand command) {
        return requestClassNumbers.getOrDefault(command.figure("c"), -1);
    }

    /** The number of the tenant that a command names; -1 where there is none such. */
    int tenant(MetaCommand command) {
        return tenantNumbers.getOrDefault(command.figure("t"), -1);
    }

    /** The counts of a request class, by its number. */
    OutcomeStatistics.OfClass statistics(int requestClass) {
        return statisticsByClass.get(requestClass);
    }

    /** Why a well-formed command can't be used here, as the response to it; null where it can. */
    String fault(MetaCommand command, int requestClass, int tenant) {
        if (requestClass < 0) {
            return "CLIENT_ERROR unknown class";
        }
        if (tenant < 0 && !tenantNumbers.isEmpty() && command.has("t")) {
            return "CLIENT_ERROR unknown tenant";
        }
        Effect effect = settings.deployment.requestClasses().get(requestClass).effect();
        return effect == Effect.DEDUPLICATED && !command.has("k") ? "CLIENT_ERROR no idempotency key" : null;
    }

    /**
     * Until when a client's request can be worked on, Unix nanoseconds: what the client says, or less while
     * this process ends.
     */
    long deadlineNanos(long arrivedAtNanos, long timeoutMillis) {
        longestTimeoutMillis = Math.max(longestTimeoutMillis, timeoutMillis);
        return Math.min(arrivedAtNanos + timeoutMillis * NANOS_PER_MILLI, finalDeadlineNanos);
    }

    /**
     * Reserves memory for a response; where that leaves too little, clients that take theirs too slowly are
     * closed.
     */
    void reserveForResponse(long bytes) {
        requestMemory.forceReserve(bytes);
        if (requestMemory.isOverdrawn()) {
            log.warn("responses exceed the memory budget", "connections=" + connections.size());
            List.copyOf(connections).forEach(ClientConnection::closeIfSlow);
        }
    }

    /** Whether another process serves from now on: connections close once they are quiet. */
    boolean isHandingOver() {
        return handingOver;
    }

    /** Whether connections close behind their responses. */
    boolean isEnding() {
        return ending;
    }

    /** A connection was closed, by either side. */
    void onClosed(ClientConnection connection) {
        connections.remove(connection);
        count = connections.size();
    }

    // ---- places

    @Override
    public void onAccepted(Connection connection, boolean guest) {
        ClientConnection accepted = new ClientConnection(this, connection, guest);
        connections.add(accepted);
        count = connections.size();
        accepted.open();
    }

    /** Closes the connections with the weakest claims or, if there are none, some to endpoints. */
    @Override
    public void onPermitsExhausted() {
        log.warn("no descriptor left for clients", "connections=" + connections.size());
        List<Candidate> candidates = connections.stream().map(c -> new Candidate(c, c.overdue()))
            .filter(candidate -> candidate.overdue >= 1)
            .sorted(Comparator.comparingDouble(Candidate::overdue).reversed()).limit(CLOSED_PER_SHORTAGE)
            .toList();
        candidates.forEach(candidate -> candidate.connection.giveWay(CloseReason.PLACE_NEEDED));
        if (candidates.isEmpty()) {
            loadBalancer.onDescriptorShortage();
        }
    }

    /**
     * Who says nothing is closed after a while, and idle ones too where many are connected: some clients ask
     * once and keep the connection for good, and those who share their limit with them then had none left
     * (first incident).
     */
    private void tidy() {
        boolean crowded = CROWD_SHARE * connections.size() > maxConnections;
        List.copyOf(connections).forEach(connection -> connection.tidy(crowded));
        events.logIfDue(now());
        if (!ending || !connections.isEmpty()) {
            loop.schedule(TIDY_INTERVAL_NANOS, this::tidy);
        }
    }

    // ---- the end of the process; from any thread

    /**
     * Others serve from now on: each connection closes soon after the response that it waits for, or once it
     * is quiet.
     */
    public void letGo() {
        handingOver = true;
        letGoQuiet();
    }

    /**
     * Those who have asked nothing for so long that hardly a command crosses it are closed from now on,
     * whether they never asked, sent half a command or had their responses.
     */
    public void letGoQuiet() {
        loop.execute(this::closeQuiet);
    }

    private void closeQuiet() {
        List.copyOf(connections).stream()
            .filter(connection -> now() - connection.quietSince() > QUIET_NANOS && connection.overdue() >= 1)
            .forEach(connection -> connection.giveWay(CloseReason.IDLE));
        if (!connections.isEmpty()) {
            loop.schedule(TIDY_INTERVAL_NANOS, this::closeQuiet);
        }
    }

    /** Closes connections between two commands from now on; responses go out first. */
    public void end() {
        ending = true;
        loop.execute(() -> List.copyOf(connections).forEach(ClientConnection::closeIfIdle));
    }

    /** All requests, taken or yet to come, are answered within this time from now, in nanoseconds. */
    public void allAnsweredWithin(long ns) {
        finalDeadlineNanos = now() + ns;
        // what was taken before may wait longer than that
        loop.execute(() -> loop.schedule(ns, loadBalancer::failAllRequests));
    }

    /**
     * The longest that a client waits for a response, in nanoseconds: as the settings tell it, which whoever
     * ends this process goes by too, whatever a single client says; as seen since the start where they don't.
     */
    public long longestWaitNs() {
        return configuredTimeoutNanos > 0 ? configuredTimeoutNanos : longestTimeoutMillis * NANOS_PER_MILLI;
    }

    /** Connections that are open; from any thread. */
    public int count() {
        return count;
    }
}
