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
import spurroad.transport.GrowthBudget;
import spurroad.transport.Listener;
import spurroad.transport.MemoryBudget;

/**
 * Holds all client connections and the state that they share: memory budgets, the numbers of request classes
 * and tenants, and admission. Closes idle connections, and the most overdue ones when descriptors run short.
 * Used on the event loop only, except where a method says otherwise.
 */
public final class ClientConnections implements Listener.AcceptHandler {
    /**
     * Memory that a request holds while in flight, in bytes, apart from its line and its value: a generous
     * estimate, half of it for a short response.
     */
    static final int REQUEST_MEMORY_BYTES = 6144;
    /** Number of connections closed when permits run out, so that they do not run out again immediately. */
    private static final int CLOSED_PER_PERMIT_SHORTAGE = 4;
    /**
     * Divisor of the maximum number of connections: more than the quotient is crowded, as so many open
     * requests are rare.
     */
    private static final int CROWDED_DIVISOR = 4;
    /** Interval between checks for idle connections; a check takes some microseconds. */
    private static final long INACTIVITY_CHECK_INTERVAL_NANOS = 100_000_000L;
    /** A client that has sent nothing for this time sends rarely. */
    private static final long QUIET_AFTER_NANOS = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private record Candidate(ClientConnection connection, double overdue) {}

    final EventLoop loop;
    final EventLog log;
    final LoadBalancerThread loadBalancer;
    final MemoryBudget requestMemory;
    /** Additional budget for long values that clients upload. */
    final GrowthBudget uploadMemory;
    /**
     * Additional budget for input that clients send before their earlier responses, beyond the first chunk.
     */
    final MemoryBudget readAheadMemory;
    final AdmissionController admission;
    final RuleMonitor rules;
    final ClientEventCounters events;
    final RequestIntake intake = new RequestIntake(this);
    /** Requests whose final response was not written yet, by request id; ids are unique among them. */
    final Map<String, ProxiedRequest> openRequests = new HashMap<>();
    final AbandonedRequests abandoned = new AbandonedRequests();
    private final MemoryBudgets memory;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final DeliveryCheck deliveryCheck;
    private final OutcomeStatistics statistics;
    private final int maxConnections;
    private DeploymentSettings settings;
    private List<OutcomeStatistics.ClassCounts> statisticsByClass = List.of(); // indexed by class number
    private Map<String, Integer> requestClassNumbers; // by class name
    private Map<String, Integer> tenantNumbers; // by tenant name
    private volatile int count; // number of connections, for other threads
    private boolean limitsRates = true;
    private volatile boolean handingOver;
    private volatile boolean shuttingDown;
    private volatile long configuredTimeoutNanos; // written on the loop
    private volatile long longestTimeoutMillis; // written on the loop
    private volatile long finalDeadlineNanos = Long.MAX_VALUE;

    /** Creates the shared state for at most the given number of connections; registers nothing yet. */
    public ClientConnections(ProxyConfiguration start, EventLoop loop, EventLog log,
                             LoadBalancerThread loadBalancer, int connectionLimit) {
        this.loop = loop;
        this.log = log;
        this.loadBalancer = loadBalancer;
        maxConnections = connectionLimit;
        deliveryCheck = new DeliveryCheck(loop);
        statistics = loadBalancer.outcomeStatistics();
        rules = loadBalancer.rules();
        events = new ClientEventCounters(log, loop.now());
        configure(start.settings);
        memory = loadBalancer.memory();
        requestMemory = memory.requests;
        uploadMemory = memory.uploads;
        readAheadMemory = memory.readAhead;
        admission = new AdmissionController(start, loop, log, requestMemory, loadBalancer);
        loadBalancer.setAdmissionController(admission);
        loop.execute(this::closeInactive);
    }

    // ---- settings

    private void configure(DeploymentSettings next) {
        settings = next;
        requestClassNumbers = numbersByName(next.requestClassNames);
        tenantNumbers = numbersByName(next.tenantNames);
        statisticsByClass = next.requestClassNames.stream().map(statistics::ofClass).toList();
        configuredTimeoutNanos = next.maxRequestTimeoutNanos;
    }

    private static Map<String, Integer> numbersByName(List<String> names) {
        Map<String, Integer> numbers = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            numbers.putIfAbsent(names.get(i), i);
        }
        return numbers;
    }

    /**
     * Applies other settings between two commands. The class and tenant numbers of the commands read from
     * then on refer to them, so the load balancer receives them after all requests that carry numbers of the
     * previous settings and before the first that carries new ones. May be called from any thread.
     */
    public void applySettings(DeploymentSettings next) {
        loop.execute(() -> {
            configure(next);
            admission.configure(next.deployment);
            loadBalancer.onDeploymentChange(next);
        });
    }

    /** Lets clients send commands at any rate; must be called before any client is accepted. */
    public void allowAnyRate() {
        limitsRates = false;
    }

    // ---- for the connections

    /** Returns whether the rate of a client's commands is limited. */
    boolean limitsRates() {
        return limitsRates;
    }

    long now() {
        return loop.now();
    }

    /** Returns the number of the request class that a command names; -1 if there is none. */
    int requestClass(MetaCommand command) {
        return requestClassNumbers.getOrDefault(command.attribute("c"), -1);
    }

    /** Returns the number of the tenant that a command names; -1 if there is none. */
    int tenant(MetaCommand command) {
        return tenantNumbers.getOrDefault(command.attribute("t"), -1);
    }

    /** Returns the counts of a request class, by its number. */
    OutcomeStatistics.ClassCounts statistics(int requestClass) {
        return statisticsByClass.get(requestClass);
    }

    /** Returns whether requests of a class, by its number, must not run twice. */
    boolean isNonIdempotent(int requestClass) {
        return settings.deployment.requestClasses().get(requestClass).effect() == Effect.NON_IDEMPOTENT;
    }

    /**
     * Returns the error response to a well-formed command that the settings do not allow; null if they allow
     * it.
     */
    String commandError(MetaCommand command, int requestClass, int tenant) {
        if (requestClass < 0) {
            return "CLIENT_ERROR unknown class";
        }
        if (tenant < 0 && !tenantNumbers.isEmpty() && command.hasAttribute("t")) {
            return "CLIENT_ERROR unknown tenant";
        }
        Effect effect = settings.deployment.requestClasses().get(requestClass).effect();
        return effect == Effect.DEDUPLICATED && !command.hasAttribute("k") ? "CLIENT_ERROR no idempotency key"
            : null;
    }

    /**
     * Returns the deadline of a request, in Unix nanoseconds: what the client specifies, or earlier while
     * this process shuts down.
     */
    long deadlineNanos(long arrivedAtNanos, long timeoutMillis) {
        longestTimeoutMillis = Math.max(longestTimeoutMillis, timeoutMillis);
        return Math.min(arrivedAtNanos + timeoutMillis * NANOS_PER_MILLI, finalDeadlineNanos);
    }

    /**
     * Reserves memory for a response. If that overdraws the budget, clients that read their responses too
     * slowly are closed.
     */
    void reserveForResponse(long bytes) {
        requestMemory.forceReserve(bytes);
        if (requestMemory.isOverdrawn()) {
            log.warn("responses exceed the memory budget", "connections=" + connections.size());
            List.copyOf(connections).forEach(connection -> connection.inactivity().closeIfSlow());
        }
    }

    /** Returns whether another process has taken over: connections close once they are quiet. */
    boolean isHandingOver() {
        return handingOver;
    }

    /** Returns whether connections close after their responses. */
    boolean isShuttingDown() {
        return shuttingDown;
    }

    /** Removes a connection that was closed by either side. */
    void onClosed(ClientConnection connection) {
        connections.remove(connection);
        count = connections.size();
    }

    // ---- descriptors

    @Override
    public void onAccepted(Connection connection, boolean guest) {
        ClientConnection accepted = new ClientConnection(this, connection, guest);
        connections.add(accepted);
        count = connections.size();
        accepted.open();
    }

    /** Closes the most overdue client connections or, if none is overdue, some connections to endpoints. */
    @Override
    public void onPermitsExhausted() {
        log.warn("no descriptor left for clients", "connections=" + connections.size());
        deliveryCheck.run(connections);
        List<Candidate> candidates = connections.stream().map(c -> new Candidate(c, c.inactivity().overdue()))
            .filter(candidate -> candidate.overdue >= 1)
            .sorted(Comparator.comparingDouble(Candidate::overdue).reversed())
            .limit(CLOSED_PER_PERMIT_SHORTAGE)
            .toList();
        candidates
            .forEach(candidate -> candidate.connection.inactivity()
                .resetUnlessInputPending(CloseReason.PLACE_NEEDED));
        if (candidates.isEmpty()) {
            loadBalancer.onDescriptorShortage();
        }
    }

    /**
     * Closes connections after a time without activity, which is shorter while many clients are connected.
     * Some clients send one request and keep the connection open forever, which left no connections for the
     * other clients that share a connection limit with them.
     */
    private void closeInactive() {
        boolean crowded = CROWDED_DIVISOR * connections.size() > maxConnections;
        deliveryCheck.run(connections.stream()
            .filter(connection -> connection.inactivity().isIdleTimeoutExpired(crowded)).toList());
        List.copyOf(connections).forEach(connection -> connection.inactivity().closeIfInactive(crowded));
        events.logIfDue(now());
        memory.logIfScarce();
        if (!shuttingDown || !connections.isEmpty()) {
            loop.schedule(INACTIVITY_CHECK_INTERVAL_NANOS, this::closeInactive);
        }
    }

    // ---- shutdown of the process; from any thread

    /**
     * Notes that other processes have taken over: each connection closes soon after its pending response, or
     * once it is quiet.
     */
    public void startHandover() {
        handingOver = true;
        startClosingQuietConnections();
    }

    /**
     * Starts closing connections that have been quiet for so long that a command is unlikely to cross the
     * close, whether they never sent a command, sent part of one, or had their responses.
     */
    public void startClosingQuietConnections() {
        loop.execute(this::closeQuietConnections);
    }

    private void closeQuietConnections() {
        deliveryCheck.run(connections);
        connections.stream().map(ClientConnection::inactivity)
            .filter(client -> now() - client.lastActivityNanos() > QUIET_AFTER_NANOS && client.overdue() >= 1)
            .toList()
            .forEach(client -> client.resetUnlessInputPending(CloseReason.IDLE));
        if (!connections.isEmpty()) {
            loop.schedule(INACTIVITY_CHECK_INTERVAL_NANOS, this::closeQuietConnections);
        }
    }

    /** Starts closing connections between two commands; responses are written first. */
    public void end() {
        shuttingDown = true;
        loop.execute(
            () -> List.copyOf(connections).forEach(connection -> connection.inactivity().endIfIdle()));
    }

    /** Ensures that all requests, current and future, are answered within this time from now. */
    public void failUnansweredAfter(long timeoutNanos) {
        finalDeadlineNanos = now() + timeoutNanos;
        // requests received before may have later deadlines
        loop.execute(() -> loop.schedule(timeoutNanos, loadBalancer::failAllRequests));
    }

    /**
     * Returns the longest time that a client waits for a response, in nanoseconds. This is the configured
     * timeout, on which the process manager that ends this process relies too, whatever timeout a single
     * client requests. If none is configured, it is the longest timeout seen since the start.
     */
    public long longestTimeoutNanos() {
        return configuredTimeoutNanos > 0 ? configuredTimeoutNanos : longestTimeoutMillis * NANOS_PER_MILLI;
    }

    /** Returns the number of open connections. May be called from any thread. */
    public int count() {
        return count;
    }
}
