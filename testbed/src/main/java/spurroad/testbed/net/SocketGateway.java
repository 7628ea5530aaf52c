package spurroad.testbed.net;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import spurroad.testbed.environment.Environment;
import spurroad.testbed.environment.ProxySelector;
import spurroad.testbed.model.LoadGenerator;
import spurroad.testbed.model.RequestAttempt;

/** Carries attempts to proxies over pools of client connections. Used on the loop. */
final class SocketGateway implements LoadGenerator.Gateway {
    private final ProxySelector selector;
    private final AttemptEvents events;
    private final List<ClientConnectionPool> pools = new ArrayList<>();

    /** Creates a gateway to the proxies that listen at some ports; opens no connection yet. */
    SocketGateway(Environment environment, EventLoop loop, int[] ports) {
        selector = new ProxySelector(ports.length, environment.seed);
        events = new AttemptEvents(environment.timeline, environment.checker);
        int maxConnections = environment.scenario.load().connections();
        for (int port : ports) {
            pools.add(new ClientConnectionPool(loop, port, maxConnections, events));
        }
    }

    /** Sets the generator that is told how attempts end; to be called before the first attempt. */
    void setGenerator(LoadGenerator generator) {
        events.setGenerator(generator);
    }

    /** Returns how many connections clients have opened. */
    long openedConnections() {
        return pools.stream().mapToLong(ClientConnectionPool::openedCount).sum();
    }

    /** Sets whether clients choose a proxy for new attempts. */
    void setOffered(int proxy, boolean offered) {
        selector.offer(proxy, offered);
    }

    void close() {
        pools.forEach(ClientConnectionPool::close);
    }

    @Override
    public int choose() {
        return selector.choose();
    }

    @Override
    public void send(RequestAttempt attempt) {
        pools.get(attempt.proxy).send(attempt);
    }

    @Override
    public void leave(RequestAttempt attempt) {
        events.onWithdrawn(attempt);
        pools.get(attempt.proxy).withdraw(attempt);
    }
}
