package spurroad.program;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import spurroad.configuration.ProxyConfiguration;
import spurroad.model.CellId;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointKindId;
import spurroad.model.EndpointPhase;
import spurroad.model.ZoneId;
import spurroad.protocol.EndpointList;
import spurroad.protocol.EndpointList.ListedEndpoint;
import spurroad.routing.ClientConnections;
import spurroad.routing.LoadBalancerThread;
import spurroad.transport.Clock;
import spurroad.transport.DescriptorBudget;
import spurroad.transport.EventLog;
import spurroad.transport.EventLoop;
import spurroad.transport.Threads;

/**
 * Sends requests through the whole request path before the proxy accepts clients, between in-memory peers and
 * with a load balancer of its own. In a freshly started process a request takes about thirty times as long as
 * in a warm one. On a fraction of a core, requests of the first seconds would be late, rejected and retried
 * until the proxy did nothing else.
 */
final class WarmUp {
    static final String BALANCER_THREAD = "warm-up balancer";
    private static final String LOOP_THREAD = "warm-up loop";
    private static final int REQUESTS = 800; // C1 compiles a method after a few hundred calls
    private static final int CLIENTS = 4; // concurrent, so that requests overlap as in production
    private static final int CACHE_NODES = 4;
    private static final int MAX_CONNECTIONS = 200; // more than the warm-up opens; also the client limit

    private final ProxyConfiguration configuration;
    private final WarmUpMessages messages;
    private final AtomicLong sent = new AtomicLong();
    private final CountDownLatch unanswered = new CountDownLatch(REQUESTS);

    WarmUp(ProxyConfiguration configuration) {
        this.configuration = configuration;
        messages = new WarmUpMessages(configuration.settings);
    }

    /** Sends all requests; returns when all are answered, or after the timeout in milliseconds. */
    void run(Threads threads, EventLog log, Clock clock, long timeoutMillis) throws InterruptedException {
        EventLoop loop = new EventLoop(log, clock);
        LoadBalancerThread loadBalancer = new LoadBalancerThread(configuration, threads, loop, log, clock,
            new DescriptorBudget(MAX_CONNECTIONS),
            (address, onClosed) -> new InMemoryPeer(loop, WarmUpMessages::endpointResponse, onClosed)
                .proxyConnection(),
            0);
        ClientConnections clients = new ClientConnections(configuration, loop, log, loadBalancer,
            MAX_CONNECTIONS);
        clients.allowAnyRate();
        loadBalancer.setDiscoveryPoller(() -> {});
        loadBalancer.onEndpointUpdate(new EndpointList(1, true, endpoints()));
        threads.start(BALANCER_THREAD, loadBalancer);
        threads.start(LOOP_THREAD, loop);
        loop.execute(() -> connectClients(loop, clients));
        unanswered.await(timeoutMillis, TimeUnit.MILLISECONDS);
        clients.end();
        loadBalancer.onEndpointUpdate(new EndpointList(2, true, List.of()));
        loadBalancer.shutdown();
        loop.shutdown();
    }

    /** Returns how many requests have no response yet. */
    long unansweredRequests() {
        return unanswered.getCount();
    }

    private void connectClients(EventLoop loop, ClientConnections clients) {
        for (int i = 0; i < CLIENTS; i++) {
            InMemoryPeer client = new InMemoryPeer(loop, this::nextRequest, () -> {});
            clients.onAccepted(client.proxyConnection(), false);
            client.send(messages.request(sent.getAndIncrement()));
        }
    }

    /** Returns the next request of a client that received a response; null once all are sent. */
    private String nextRequest(String response) {
        unanswered.countDown();
        long number = sent.getAndIncrement();
        return number < REQUESTS ? messages.request(number) : null;
    }

    /** Returns cache nodes of a kind that no deployment has, and the origin if the deployment has one. */
    private List<ListedEndpoint> endpoints() {
        List<ListedEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < CACHE_NODES; i++) {
            endpoints.add(endpoint(i, new EndpointKindId(Integer.MAX_VALUE)));
        }
        EndpointKindId origin = configuration.settings.deployment.originKind();
        if (origin != null) {
            endpoints.add(endpoint(CACHE_NODES, origin));
        }
        return endpoints;
    }

    private static ListedEndpoint endpoint(int number, EndpointKindId kind) {
        InetSocketAddress neverConnected = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        return new ListedEndpoint(new Endpoint(new EndpointId(number + 1), kind, new ZoneId(0), new CellId(0),
            0, 1, EndpointPhase.READY), neverConnected);
    }
}
