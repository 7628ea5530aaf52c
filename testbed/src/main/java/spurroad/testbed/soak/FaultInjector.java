package spurroad.testbed.soak;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import spurroad.testbed.soak.FakeServer.Mode;
import spurroad.testbed.soak.Shim.Field;

/** Injects the faults of a schedule into an environment, and ends them. */
final class FaultInjector {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long HOUR_NANOS = 3_600 * SECOND_NANOS;
    private static final long MAX_SMALL_CLOCK_STEP_NANOS = 5 * SECOND_NANOS;
    private static final int IDLE_CLIENTS = 200;
    /** A drained node is down for so long before it is back. */
    private static final long DOWN_AFTER_DRAIN_MS = 300;

    private final SoakSettings settings;
    private final SoakEnvironment environment;
    private final OperatorThreads operators;
    private final ScheduledExecutorService timeline;
    private final Random startConditions;

    FaultInjector(SoakSettings settings, SoakEnvironment environment, OperatorThreads operators,
                  ScheduledExecutorService timeline) {
        this.settings = settings;
        this.environment = environment;
        this.operators = operators;
        this.timeline = timeline;
        startConditions = new Random(settings.seed() + 1);
    }

    /** Schedules a fault, whose times count from now. */
    void schedule(Fault fault) {
        StartCondition[] conditions = StartCondition.values();
        StartCondition condition = conditions[startConditions.nextInt(conditions.length)];
        timeline.schedule(() -> inject(fault, condition), fault.fromMs(), TimeUnit.MILLISECONDS);
    }

    private void inject(Fault fault, StartCondition condition) {
        switch (fault.kind().target) {
            case PROXY -> injectAtProxy(fault, condition);
            case NODE -> injectAtNode(fault);
            case ORIGIN -> injectAtOrigin(fault);
            case DISCOVERY -> injectAtDiscovery(fault);
        }
    }

    /** Switches something on now, and off at the end of the fault. */
    private void whileLasting(Fault fault, Consumer<Boolean> on) {
        on.accept(true);
        timeline.schedule(() -> on.accept(false), fault.durationMs(), TimeUnit.MILLISECONDS);
    }

    // ---- proxies

    private void injectAtProxy(Fault fault, StartCondition condition) {
        int number = fault.target();
        switch (fault.kind()) {
            case PROXY_STOPPED -> operators.schedule(number, proxy -> proxy.restart(condition));
            case PROXY_KILLED -> operators.schedule(number, proxy -> proxy.kill(condition));
            case PROXY_UPGRADED ->
                operators.schedule(number, proxy -> proxy.upgrade(condition, fault.detail()));
            case PROXY_RELOADED -> operators.schedule(number, ProxyHost::reload);
            case PROXY_RELOADED_TWICE -> operators.schedule(number, proxy -> {
                proxy.reload();
                proxy.reload();
            });
            case PROXY_RELOADED_WITH_A_FAULTY_FILE ->
                operators.schedule(number, proxy -> proxy.reloadMalformed(fault.detail()));
            case PROXY_HELD_UP ->
                operators.schedule(number, proxy -> proxy.pauseRepeatedly(fault.durationMs()));
            case PROXY_GETS_SIGNALS_IN_SERIES ->
                operators.schedule(number, proxy -> new SignalSeries(proxy, fault.detail()).send(condition));
            case CROWD ->
                Crowd.connect(environment.proxies.get(number).port(), settings.limits().descriptors(),
                    fault);
            case NODE_OUT_BY_HAND -> drainAdministratively(fault);
            case IDLE_CLIENTS -> connectIdleClients(fault);
            default -> injectSystemCallFault(fault);
        }
    }

    private void injectSystemCallFault(Fault fault) {
        switch (fault.kind()) {
            case CLOCK_STEPPED ->
                environment.proxies.get(fault.target()).shim.set(Field.CLOCK_OFFSET_NS, clockStep(fault));
            case ACCEPT_FAILS -> failWhileLasting(fault, Field.ACCEPT, Shim.RATE_UNIT / 2);
            case SOCKET_FAILS -> failWhileLasting(fault, Field.SOCKET, Shim.RATE_UNIT / 3);
            case CONNECT_FAILS -> failWhileLasting(fault, Field.CONNECT, Shim.RATE_UNIT / 3);
            case SHORT_READS_AND_WRITES -> failWhileLasting(fault, Field.SHORT_IO, Shim.RATE_UNIT / 2);
            case CONNECTIONS_BREAK -> failWhileLasting(fault, Field.BROKEN_READ, Shim.RATE_UNIT / 50);
            case WAITS_ARE_INTERRUPTED -> failWhileLasting(fault, Field.WAIT, Shim.RATE_UNIT / 3);
            case FOLDER_TAKES_NOTHING -> failWhileLasting(fault, Field.DISK, Shim.RATE_UNIT);
            default -> throw new IllegalArgumentException("no fault of a proxy: " + fault);
        }
    }

    private void failWhileLasting(Fault fault, Field field, int rate) {
        Shim shim = environment.proxies.get(fault.target()).shim;
        whileLasting(fault, on -> shim.set(field, on ? rate : 0));
    }

    /** Returns a step of an hour forward or backward, or a small one, by the detail of the fault. */
    private static long clockStep(Fault fault) {
        double detail = fault.detail();
        if (detail < 0.25) {
            return HOUR_NANOS;
        }
        return detail < 0.5 ? -HOUR_NANOS : (long) ((detail - 0.75) * 4 * MAX_SMALL_CLOCK_STEP_NANOS);
    }

    private void drainAdministratively(Fault fault) {
        String node = FleetList.nodeName((int) (fault.detail() * settings.nodes()));
        whileLasting(fault, on -> operators.schedule(fault.target(), proxy -> {
            if (on) {
                proxy.drainNode(node);
            } else {
                proxy.undrainNode(node);
            }
        }));
    }

    private void connectIdleClients(Fault fault) {
        int port = environment.proxies.get(fault.target()).port();
        TestThreads.start("idle clients", () -> {
            List<Socket> idle = new ArrayList<>();
            try {
                for (int i = 0; i < IDLE_CLIENTS; i++) {
                    idle.add(Sockets.connect(port));
                }
                Thread.sleep(fault.durationMs());
            } finally {
                idle.forEach(Sockets::close);
            }
        });
    }

    // ---- servers and discovery

    private void injectAtNode(Fault fault) {
        FakeServer node = environment.node(fault.target());
        switch (fault.kind()) {
            case NODE_DRAINED -> drainAndRestart(fault);
            case NODE_RESTARTED -> {
                if (!environment.fleetList.isDraining(fault.target())) { // else the drain restarts it
                    restartNode(fault.target(), fault.durationMs());
                }
            }
            case NODE_ANSWERS_IN_PIECES -> whileLasting(fault,
                on -> environment.faultProxiesTo(node).forEach(proxy -> proxy.setFragmenting(on)));
            case NODE_SILENT -> injectSilence(fault, node);
            case NODE_SLOW -> setModeWhileLasting(fault, node, Mode.SLOW);
            case NODE_FAILS -> setModeWhileLasting(fault, node, Mode.FAILING);
            case NODE_BUSY -> setModeWhileLasting(fault, node, Mode.BUSY);
            case NODE_RESETS -> setModeWhileLasting(fault, node, Mode.RESETTING);
            case NODE_SPOILS_ANSWERS -> setModeWhileLasting(fault, node, Mode.MALFORMED);
            default -> throw new IllegalArgumentException("no fault of a node: " + fault);
        }
    }

    /** Silences the node itself or partitions the network to it, by the detail of the fault. */
    private void injectSilence(Fault fault, FakeServer node) {
        if (fault.detail() < 0.5) {
            setModeWhileLasting(fault, node, Mode.SILENT);
        } else {
            whileLasting(fault,
                on -> environment.faultProxiesTo(node).forEach(proxy -> proxy.setPartitioned(on)));
        }
    }

    private void setModeWhileLasting(Fault fault, FakeServer server, Mode mode) {
        whileLasting(fault, on -> server.setMode(on ? mode : Mode.HEALTHY));
    }

    private void drainAndRestart(Fault fault) {
        int number = fault.target();
        if (environment.fleetList.isDraining(number)) {
            return;
        }
        environment.fleetList.drain(number);
        timeline.schedule(() -> restartNode(number, DOWN_AFTER_DRAIN_MS), fault.durationMs(),
            TimeUnit.MILLISECONDS);
    }

    private void restartNode(int number, long downMs) {
        FakeServer node = environment.node(number);
        node.setDown(true);
        environment.faultProxiesTo(node).forEach(FaultProxy::resetAll);
        timeline.schedule(() -> {
            node.setDown(false);
            for (ProxyHost proxy : environment.proxies) {
                environment.checker.onNodeRestarted(proxy.number, node.name());
            }
            environment.fleetList.restarted(number, System.currentTimeMillis());
        }, downMs, TimeUnit.MILLISECONDS);
    }

    private void injectAtOrigin(Fault fault) {
        boolean firstVariant = fault.detail() < 0.5;
        Mode mode = switch (fault.kind()) {
            case ORIGIN_SILENT -> Mode.SILENT;
            case ORIGIN_SLOW -> Mode.SLOW;
            case ORIGIN_FAILS -> firstVariant ? Mode.FAILING : Mode.BUSY;
            case ORIGIN_RESETS -> firstVariant ? Mode.RESETTING : Mode.MALFORMED;
            default -> throw new IllegalArgumentException("no fault of the origin: " + fault);
        };
        setModeWhileLasting(fault, environment.origin(), mode);
    }

    private void injectAtDiscovery(Fault fault) {
        FakeDiscovery discovery = environment.discoveries.get(fault.target());
        switch (fault.kind()) {
            case DISCOVERY_DOWN -> whileLasting(fault, discovery::setDown);
            case DISCOVERY_SILENT -> whileLasting(fault, discovery::setSilent);
            case DISCOVERY_SLOW -> whileLasting(fault, discovery::setSlow);
            default -> throw new IllegalArgumentException("no fault of discovery: " + fault);
        }
    }
}
