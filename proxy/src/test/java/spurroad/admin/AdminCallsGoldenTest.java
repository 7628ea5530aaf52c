package spurroad.admin;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.admin.StatsdExport.Metric;
import spurroad.admin.StatsdExport.MetricType;

/**
 * Compares the responses of the admin server with a golden file: to every supported request, before and while
 * the proxy serves, for known and unknown cache nodes, and to malformed requests.
 *
 * <p>{@code golden/admin/calls.txt} contains the responses, each after a line {@code ### CASE}; a carriage
 * return is written as {@code \r}. The responses of the current run are written to
 * {@code target/admin-calls.txt}.
 */
public class AdminCallsGoldenTest {
    private static final Path GOLDEN = Path.of("src/test/resources/golden/admin/calls.txt");
    private static final Path ACTUAL_RESPONSES = Path.of("target/admin-calls.txt");
    private static final String HEADING = "### ";

    /** The state of the proxy behind the admin server. */
    private enum ProxyState {
        /** The process has just started and set no routes. */
        NOT_THERE {
            @Override
            void configure(AdminServer server) {}
        },
        STARTING {
            @Override
            void configure(AdminServer server) {
                server.setRoutes(routes(false, onResult -> onResult.accept(true)));
            }
        },
        KNOWS_THE_NODE {
            @Override
            void configure(AdminServer server) {
                server.setRoutes(routes(true, onResult -> onResult.accept(true)));
            }
        },
        KNOWS_NO_NODE {
            @Override
            void configure(AdminServer server) {
                server.setRoutes(routes(true, onResult -> onResult.accept(false)));
            }
        },
        /** Another process does not confirm a drain in time. */
        SILENT {
            @Override
            void configure(AdminServer server) {
                server.setRoutes(routes(true, onResult -> {}));
            }
        };

        abstract void configure(AdminServer server);
    }

    private static AdminRoutes routes(boolean serving, Consumer<Consumer<Boolean>> drain) {
        StatsdExport metrics = new StatsdExport().counter("forwards", () -> 8).gauge("outstanding", () -> 3)
            .metrics(() -> List.of(new Metric("results.read.succeeded", 5, MetricType.COUNTER)));
        return new AdminRoutes(() -> serving, metrics,
            (id, drained, onApplied, onResult) -> drain.accept(onResult));
    }

    /** A request to the admin server of a proxy in a given state. */
    private record Exchange(String name, ProxyState proxyState, String request) {
        @Override
        public String toString() {
            return name; // shown in test reports
        }

        private String sendAndReceive() throws IOException {
            try (AdminServer server = AdminServerTest.server()) {
                proxyState.configure(server);
                return AdminServerTest.call(server.port(), request).replace("\r", "\\r");
            }
        }
    }

    private static Exchange requestOf(ProxyState proxy, String call) {
        return new Exchange(proxy + " " + call, proxy, call + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    private static Exchange rawRequest(String name, String request) {
        return new Exchange(name, ProxyState.KNOWS_THE_NODE, request);
    }

    private static List<Exchange> supportedRequests() {
        List<Exchange> all = new ArrayList<>();
        for (ProxyState proxy : ProxyState.values()) {
            for (String call : List.of("GET /healthcheck", "GET /stats", "POST /cache-nodes/s-1/maint",
                "POST /cache-nodes/s-1/ready")) {
                all.add(requestOf(proxy, call));
            }
        }
        for (String call : List.of("GET /healthcheck?verbose=1", "GET /stats?", "GET /stats?a?b",
            "POST /cache-nodes/s-1/maint?why=disk", "POST /cache-nodes/a%2Db/ready",
            "POST /cache-nodes/%c3%a9/maint", "POST /cache-nodes/maint/maint",
            "POST /cache-nodes/a/b/ready")) {
            all.add(requestOf(ProxyState.KNOWS_THE_NODE, call));
        }
        return all;
    }

    private static List<Exchange> unsupportedRequests() {
        List<Exchange> all = new ArrayList<>();
        for (String call : List.of("POST /healthcheck", "HEAD /healthcheck", "DELETE /stats", "get /stats",
            "GET /cache-nodes/s-1/maint", "PUT /cache-nodes/s-1/ready", "GET /", "GET /nothing",
            "GET /stats/", "GET /healthcheck/x", "POST /cache-nodes/s-1", "POST /cache-nodes/s-1/drain",
            "POST /cache-nodes/s-1/maint/", "POST /cache-nodes/maint", "POST /cache-nodes//maint",
            "POST /cache-nodes/%zz/maint", "POST /cache-nodes/%2/ready", "POST /cache-nodes/%20/ready",
            "POST /cache-nodes/a%0ab/ready", "POST /cache-nodes/a%2fb/maint", "GET stats")) {
            all.add(requestOf(ProxyState.KNOWS_THE_NODE, call));
        }
        return all;
    }

    private static List<Exchange> unusualAndMalformedRequests() {
        String stats = "GET /stats HTTP/1.1\r\n";
        return List.of(rawRequest("no HTTP", "nonsense\r\n\r\n"),
            rawRequest("no version", "GET /stats\r\n\r\n"),
            rawRequest("another version", "GET /stats HTTP/2\r\n\r\n"),
            rawRequest("version 1.0", "GET /stats HTTP/1.0\r\n\r\n"), rawRequest("empty line", "\r\n\r\n"),
            rawRequest("line ends without carriage return", "GET /healthcheck HTTP/1.1\n\n"),
            rawRequest("header without colon", stats + "no colon\r\n\r\n"),
            rawRequest("header without name", stats + ": x\r\n\r\n"),
            rawRequest("with a body", stats + "Content-Length: 2\r\n\r\n{}"),
            rawRequest("longest body", stats + "CONTENT-LENGTH:4096\r\n\r\n" + "x".repeat(4096)),
            rawRequest("too long a body", stats + "Content-Length: 4097\r\n\r\n"),
            rawRequest("negative length", stats + "Content-Length: -1\r\n\r\n"),
            rawRequest("length no number", stats + "Content-Length: two\r\n\r\n"),
            rawRequest("chunked", stats + "Transfer-Encoding: chunked\r\n\r\n"),
            rawRequest("64 headers", stats + "a: b\r\n".repeat(64) + "\r\n"),
            rawRequest("65 headers", stats + "a: b\r\n".repeat(65) + "\r\n"),
            rawRequest("too long a line", "GET /" + "y".repeat(5000)),
            rawRequest("too long a header", stats + "a: " + "y".repeat(5000)),
            rawRequest("two calls", stats + "\r\n" + stats + "\r\n"));
    }

    private static List<Exchange> exchanges() {
        List<Exchange> all = new ArrayList<>(supportedRequests());
        all.addAll(unsupportedRequests());
        all.addAll(unusualAndMalformedRequests());
        return all;
    }

    @DataProvider
    Object[][] cases() throws IOException {
        Map<String, String> golden = readGoldenResponses();
        return exchanges().stream().map(exchange -> new Object[] {exchange, golden.get(exchange.name)})
            .toArray(Object[][]::new);
    }

    private static Map<String, String> readGoldenResponses() throws IOException {
        Map<String, String> responses = new TreeMap<>();
        String text = Files.readString(GOLDEN);
        Arrays.stream(text.split("(?m)^" + HEADING)).skip(1).forEach(part -> {
            int end = part.indexOf('\n');
            responses.put(part.substring(0, end), part.substring(end + 1));
        });
        return responses;
    }

    @Test(dataProvider = "cases")
    public void respondsAsInGoldenFile(Exchange exchange, String response) throws Exception {
        assertEquals(exchange.sendAndReceive(), response);
    }

    /** Also writes the responses of this run to a file. */
    @Test
    public void goldenFileContainsExactlyTheseCases() throws Exception {
        StringBuilder all = new StringBuilder();
        for (Exchange exchange : exchanges()) {
            all.append(HEADING).append(exchange.name).append('\n').append(exchange.sendAndReceive());
        }
        Files.write(ACTUAL_RESPONSES, all.toString().getBytes(StandardCharsets.UTF_8));
        assertEquals(all.toString(), Files.readString(GOLDEN));
    }
}
