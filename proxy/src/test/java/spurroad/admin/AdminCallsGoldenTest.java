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
    private static final Path ANSWERS = Path.of("target/admin-calls.txt");
    private static final String HEADING = "### ";

    /** The state of the proxy behind the admin server. */
    private enum Proxy {
        /** The process has just started and set no routes. */
        NOT_THERE {
            @Override
            void answers(AdminServer server) {}
        },
        STARTING {
            @Override
            void answers(AdminServer server) {
                server.setRoutes(routes(false, onResult -> onResult.accept(true)));
            }
        },
        KNOWS_THE_NODE {
            @Override
            void answers(AdminServer server) {
                server.setRoutes(routes(true, onResult -> onResult.accept(true)));
            }
        },
        KNOWS_NO_NODE {
            @Override
            void answers(AdminServer server) {
                server.setRoutes(routes(true, onResult -> onResult.accept(false)));
            }
        },
        /** Another process does not confirm a drain in time. */
        SILENT {
            @Override
            void answers(AdminServer server) {
                server.setRoutes(routes(true, onResult -> {}));
            }
        };

        abstract void answers(AdminServer server);
    }

    private static AdminRoutes routes(boolean serving, Consumer<Consumer<Boolean>> drain) {
        StatsdExport metrics = new StatsdExport().counter("forwards", () -> 8).gauge("outstanding", () -> 3)
            .metrics(() -> List.of(new Metric("results.read.succeeded", 5, MetricType.COUNTER)));
        return new AdminRoutes(() -> serving, metrics,
            (id, drained, onApplied, onResult) -> drain.accept(onResult));
    }

    /** A request to the admin server of a proxy in a given state. */
    private record Exchange(String name, Proxy proxy, String request) {
        @Override
        public String toString() {
            return name; // shown in test reports
        }

        private String answer() throws IOException {
            try (AdminServer server = AdminServerTest.server()) {
                proxy.answers(server);
                return AdminServerTest.call(server.port(), request).replace("\r", "\\r");
            }
        }
    }

    private static Exchange line(Proxy proxy, String call) {
        return new Exchange(proxy + " " + call, proxy, call + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    private static Exchange raw(String name, String request) {
        return new Exchange(name, Proxy.KNOWS_THE_NODE, request);
    }

    private static List<Exchange> knownCalls() {
        List<Exchange> all = new ArrayList<>();
        for (Proxy proxy : Proxy.values()) {
            for (String call : List.of("GET /healthcheck", "GET /stats", "POST /cache-nodes/s-1/maint",
                "POST /cache-nodes/s-1/ready")) {
                all.add(line(proxy, call));
            }
        }
        for (String call : List.of("GET /healthcheck?verbose=1", "GET /stats?", "GET /stats?a?b",
            "POST /cache-nodes/s-1/maint?why=disk", "POST /cache-nodes/a%2Db/ready",
            "POST /cache-nodes/%c3%a9/maint", "POST /cache-nodes/maint/maint",
            "POST /cache-nodes/a/b/ready")) {
            all.add(line(Proxy.KNOWS_THE_NODE, call));
        }
        return all;
    }

    private static List<Exchange> callsOfAnotherForm() {
        List<Exchange> all = new ArrayList<>();
        for (String call : List.of("POST /healthcheck", "HEAD /healthcheck", "DELETE /stats", "get /stats",
            "GET /cache-nodes/s-1/maint", "PUT /cache-nodes/s-1/ready", "GET /", "GET /nothing",
            "GET /stats/", "GET /healthcheck/x", "POST /cache-nodes/s-1", "POST /cache-nodes/s-1/drain",
            "POST /cache-nodes/s-1/maint/", "POST /cache-nodes/maint", "POST /cache-nodes//maint",
            "POST /cache-nodes/%zz/maint", "POST /cache-nodes/%2/ready", "POST /cache-nodes/%20/ready",
            "POST /cache-nodes/a%0ab/ready", "POST /cache-nodes/a%2fb/maint", "GET stats")) {
            all.add(line(Proxy.KNOWS_THE_NODE, call));
        }
        return all;
    }

    private static List<Exchange> faultyCalls() {
        String stats = "GET /stats HTTP/1.1\r\n";
        return List.of(raw("no HTTP", "nonsense\r\n\r\n"), raw("no version", "GET /stats\r\n\r\n"),
            raw("another version", "GET /stats HTTP/2\r\n\r\n"),
            raw("version 1.0", "GET /stats HTTP/1.0\r\n\r\n"), raw("empty line", "\r\n\r\n"),
            raw("line ends without carriage return", "GET /healthcheck HTTP/1.1\n\n"),
            raw("header without colon", stats + "no colon\r\n\r\n"),
            raw("header without name", stats + ": x\r\n\r\n"),
            raw("with a body", stats + "Content-Length: 2\r\n\r\n{}"),
            raw("longest body", stats + "CONTENT-LENGTH:4096\r\n\r\n" + "x".repeat(4096)),
            raw("too long a body", stats + "Content-Length: 4097\r\n\r\n"),
            raw("negative length", stats + "Content-Length: -1\r\n\r\n"),
            raw("length no number", stats + "Content-Length: two\r\n\r\n"),
            raw("chunked", stats + "Transfer-Encoding: chunked\r\n\r\n"),
            raw("64 headers", stats + "a: b\r\n".repeat(64) + "\r\n"),
            raw("65 headers", stats + "a: b\r\n".repeat(65) + "\r\n"),
            raw("too long a line", "GET /" + "y".repeat(5000)),
            raw("too long a header", stats + "a: " + "y".repeat(5000)),
            raw("two calls", stats + "\r\n" + stats + "\r\n"));
    }

    private static List<Exchange> exchanges() {
        List<Exchange> all = new ArrayList<>(knownCalls());
        all.addAll(callsOfAnotherForm());
        all.addAll(faultyCalls());
        return all;
    }

    @DataProvider
    Object[][] cases() throws IOException {
        Map<String, String> golden = golden();
        return exchanges().stream().map(e -> new Object[] {e, golden.get(e.name)}).toArray(Object[][]::new);
    }

    private static Map<String, String> golden() throws IOException {
        Map<String, String> answers = new TreeMap<>();
        String text = Files.readString(GOLDEN);
        Arrays.stream(text.split("(?m)^" + HEADING)).skip(1).forEach(part -> {
            int end = part.indexOf('\n');
            answers.put(part.substring(0, end), part.substring(end + 1));
        });
        return answers;
    }

    @Test(dataProvider = "cases")
    public void eachRequestGetsTheResponseOfTheGoldenFile(Exchange exchange, String answer) throws Exception {
        assertEquals(exchange.answer(), answer);
    }

    /** Also writes the responses of this run to a file. */
    @Test
    public void theGoldenFileHoldsTheseCasesAndNoOthers() throws Exception {
        StringBuilder all = new StringBuilder();
        for (Exchange exchange : exchanges()) {
            all.append(HEADING).append(exchange.name).append('\n').append(exchange.answer());
        }
        Files.write(ANSWERS, all.toString().getBytes(StandardCharsets.UTF_8));
        assertEquals(all.toString(), Files.readString(GOLDEN));
    }
}
