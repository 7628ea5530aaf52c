package spurroad.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spurroad.balancer.KeyCandidates;
import spurroad.configuration.ProxyConfiguration;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;
import spurroad.model.EndpointPhase;
import spurroad.protocol.EndpointList;
import spurroad.protocol.Json;
import spurroad.testbed.experiment.ResultFolder;

/** Prints the candidate endpoints of a key, in the order in which a proxy considers them. */
@Command(name = "explain", mixinStandardHelpOptions = true, description = {
    "Prints the candidates of a key: the first three ready cache nodes clockwise on the ring, and their "
        + "distances.",
    "All proxies with the same endpoint list have the same candidates."})
final class ExplainCommand implements Callable<Integer> {
    @Parameters(paramLabel = "KEY")
    private String key;
    @Option(names = "--config", required = true, paramLabel = "FILE",
        description = "The proxy configuration (JSON); its known list is used without --list.")
    private Path configurationFile;
    @Option(names = "--list", paramLabel = "FILE",
        description = "An endpoint list in the format of discovery (JSON).")
    private Path endpointListFile;
    @Option(names = "--json", description = "Prints the candidates as JSON.")
    private boolean json;
    @Spec
    private CommandSpec spec;

    /** An endpoint and its display name. */
    private record NamedEndpoint(Endpoint endpoint, String name) {}

    /**
     * JSON representation of a candidate.
     *
     * @param node id and address of the endpoint
     * @param way clockwise distance from the key to the endpoint, as a fraction of the ring
     * @param part fraction of the ring that the endpoint owns
     */
    private record JsonCandidate(String node, double way, double part) {}

    /**
     * JSON representation of the whole output.
     *
     * @param point position of the key on the ring, in hexadecimal
     * @param leftOut endpoints that are not ready
     */
    private record JsonExplanation(String key, String point, List<JsonCandidate> candidates,
                                   List<String> leftOut) {}

    @Override
    public Integer call() throws Exception {
        ProxyConfiguration configuration = new ProxyConfiguration(Files.readString(configurationFile));
        List<NamedEndpoint> endpoints = readEndpoints(configuration);
        KeyCandidates candidates = KeyCandidates.of(endpoints.stream().map(NamedEndpoint::endpoint).toList(),
            configuration.settings.deployment.originKind(), EndpointList.cacheKey(key));
        if (json) {
            printJson(candidates, endpoints);
        } else {
            printText(candidates, endpoints);
        }
        return candidates.candidates().isEmpty() ? Spurroad.FAILED : 0;
    }

    private List<NamedEndpoint> readEndpoints(ProxyConfiguration configuration) throws Exception {
        Object listJson = endpointListFile != null ? Json.read(Files.readString(endpointListFile))
            : ((Map<?, ?>) Json.read(Files.readString(configurationFile))).get("known");
        EndpointList endpointList = EndpointList.read(listJson, configuration.settings.endpointNames);
        List<?> targets = (List<?>) ((Map<?, ?>) listJson).get("targets");
        List<NamedEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < endpointList.endpoints().size(); i++) {
            Map<?, ?> target = (Map<?, ?>) targets.get(i);
            endpoints.add(new NamedEndpoint(endpointList.endpoints().get(i).endpoint(),
                target.get("uid") + " at " + target.get("endpoint")));
        }
        return endpoints;
    }

    private static Map<EndpointId, String> namesById(List<NamedEndpoint> endpoints) {
        Map<EndpointId, String> namesById = new HashMap<>();
        endpoints.forEach(named -> namesById.put(named.endpoint.id(), named.name));
        return namesById;
    }

    /** Returns the endpoints that can't be a candidate for any key, each with its phase. */
    private static List<String> notReady(List<NamedEndpoint> endpoints) {
        return endpoints.stream().filter(named -> named.endpoint.phase() != EndpointPhase.READY)
            .map(named -> named.name + ", " + named.endpoint.phase()).toList();
    }

    private void printJson(KeyCandidates candidates, List<NamedEndpoint> endpoints) throws IOException {
        Map<EndpointId, String> namesById = namesById(endpoints);
        List<JsonCandidate> jsonCandidates = candidates.candidates().stream()
            .map(candidate -> new JsonCandidate(namesById.get(candidate.endpoint()), candidate.ringDistance(),
                candidate.ringFraction()))
            .toList();
        JsonExplanation explanation = new JsonExplanation(key, Long.toHexString(candidates.point()),
            jsonCandidates, notReady(endpoints));
        spec.commandLine().getOut().println(ResultFolder.json(explanation));
    }

    private void printText(KeyCandidates candidates, List<NamedEndpoint> endpoints) {
        PrintWriter out = spec.commandLine().getOut();
        Map<EndpointId, String> namesById = namesById(endpoints);
        out.printf("key %s maps to %016x on a ring of %d points%n", key, candidates.point(),
            candidates.ringPoints());
        int number = 0;
        for (KeyCandidates.Candidate candidate : candidates.candidates()) {
            out.printf("%d. %s, %.4f%% of the ring from the key; it owns %.1f%% of the ring%n", ++number,
                namesById.get(candidate.endpoint()), 100 * candidate.ringDistance(),
                100 * candidate.ringFraction());
        }
        out.println(candidates.candidates().isEmpty() ? "no cache node is ready: the key has no candidates"
            : "The first takes the request while its queue is under its limit; else the others are asked "
                + "for their queue lengths.");
        notReady(endpoints).forEach(name -> out.println("left out: " + name));
    }
}
