package spurroad.program;

import java.util.Collection;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;

/**
 * Records what proxies decided for their requests and which requests endpoints executed, so that a failed
 * check can print the history of a single request. Thread-safe.
 */
final class ExecutionLog {
    private static final long NANOS_PER_MICRO = 1_000L;

    /** One event in the history of a request. */
    private record Entry(long atNanos, String text) {
        @Override
        public String toString() {
            return atNanos / NANOS_PER_MICRO + " us: " + text;
        }
    }

    private final long startNanos = System.nanoTime();
    private final Map<String, Queue<Entry>> entriesByRequest = new ConcurrentHashMap<>();

    /**
     * Records a debug line of a proxy's log, by the request that it names; ignores lines about no request.
     */
    void addLogLine(String proxy, String line) {
        String marker = "request=";
        int start = line.indexOf(marker);
        if (start >= 0) {
            String id = line.substring(start + marker.length()).replaceFirst("(?s) .*", "");
            add(id, proxy + ": " + line);
        }
    }

    /** Records that an endpoint executes a request; called on the thread of the endpoint's connection. */
    void addExecution(String id, String load) {
        add(id, "executed in " + load + " by " + Thread.currentThread().getName());
    }

    private void add(String id, String text) {
        entriesByRequest.computeIfAbsent(id, newId -> new ConcurrentLinkedQueue<>())
            .add(new Entry(System.nanoTime() - startNanos, text));
    }

    /** Returns the history of each of the given requests, one event a line, by request id. */
    String history(Collection<String> ids) {
        Map<String, Queue<Entry>> selected = new TreeMap<>();
        ids.forEach(id -> selected.put(id, entriesByRequest.getOrDefault(id, new ConcurrentLinkedQueue<>())));
        return selected.entrySet().stream()
            .map(each -> "\n" + each.getKey() + each.getValue().stream().map(entry -> "\n  " + entry)
                .collect(Collectors.joining()))
            .collect(Collectors.joining());
    }
}
