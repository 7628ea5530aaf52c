package spurroad.testbed.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The fake servers and discovery of a run, and the hosts of its proxies. */
final class SoakEnvironment {
    final InvariantChecker checker = new InvariantChecker();
    final FleetList fleetList;
    final List<FakeDiscovery> discoveries = new ArrayList<>();
    final List<ProxyHost> proxies = new ArrayList<>();
    private final SoakSettings settings;
    /** The cache nodes, followed by the origin. */
    private final List<FakeServer> servers = new ArrayList<>();
    /** The fault proxies of each proxy, by the names of their servers. */
    private final List<Map<String, FaultProxy>> faultProxies = new ArrayList<>();

    /**
     * Opens all fake servers, and creates hosts without processes.
     *
     * @param root the root of the repository, where the proxy is built
     * @param folder the folder for logs and configurations
     */
    SoakEnvironment(SoakSettings settings, Path root, Path folder) throws IOException, InterruptedException {
        this(settings, new FleetList(settings.nodes()), root, folder);
    }

    /** Does the same with a given endpoint list. */
    SoakEnvironment(SoakSettings settings, FleetList fleetList, Path root, Path folder)
        throws IOException, InterruptedException {
        this.settings = settings;
        this.fleetList = fleetList;
        for (int i = 0; i < settings.nodes(); i++) {
            servers.add(new FakeServer(FleetList.nodeName(i), checker, settings.seed() * 31 + i));
        }
        servers.add(new FakeServer(FakeServer.ORIGIN, checker, settings.seed() * 31 - 1));
        ProxyHost.Context context = new ProxyHost.Context(root, DeployFile.runCommand(root), folder,
            Shim.build(folder), checker, settings);
        for (int i = 0; i < settings.proxies(); i++) {
            addProxy(i, context);
        }
    }

    private void addProxy(int number, ProxyHost.Context context) throws IOException {
        Map<String, FaultProxy> faultProxiesByServer = new HashMap<>();
        for (FakeServer server : servers) {
            faultProxiesByServer.put(server.name(), new FaultProxy(number, server, checker,
                settings.planted(), faultProxiesByServer::get, settings.seed() * 37 + number));
        }
        faultProxies.add(faultProxiesByServer);
        FleetList.PortMapping ports = server -> faultProxiesByServer.get(servers.get(server).name()).port();
        FakeDiscovery discovery = new FakeDiscovery(number, fleetList, ports, checker);
        discoveries.add(discovery);
        boolean inheritsSocket = number % 2 == 0;
        proxies.add(new ProxyHost(number, inheritsSocket, context, discovery, fleetList, ports));
    }

    FakeServer node(int number) {
        return servers.get(number);
    }

    FakeServer origin() {
        return servers.get(settings.nodes());
    }

    /** Returns the fault proxies of all proxies to a server. */
    List<FaultProxy> faultProxiesTo(FakeServer server) {
        return faultProxies.stream().map(byServer -> byServer.get(server.name())).toList();
    }

    /** Kills all processes, and closes all sockets. */
    void close() {
        proxies.forEach(ProxyHost::close);
        TestThreads.closeAll();
        Sockets.forgetGivenPorts();
    }
}
