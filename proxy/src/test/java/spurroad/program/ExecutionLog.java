package spurroad.program;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Records what proxies decided for their requests and which requests endpoints executed, by request id.
 * Thread-safe.
 */
final class ExecutionLog {
    private static final String REQUEST_FIELD = "request=";

    private final Map<String, RequestHistory> histories = new ConcurrentHashMap<>();

    /** Records a debug line of a proxy's log for the request that it names; ignores lines about none. */
    void addLogLine(String proxy, String line) {
        int start = line.indexOf(REQUEST_FIELD);
        if (start >= 0) {
            String id = line.substring(start + REQUEST_FIELD.length()).replaceFirst("(?s) .*", "");
            history(id).addLine(proxy, line);
        }
    }

    /**
     * Records that an endpoint executes a request, and returns the record, to which the endpoint adds what
     * follows; called on the thread of the endpoint's connection.
     */
    RequestHistory.Execution addExecution(String id) {
        return history(id).addExecution();
    }

    private RequestHistory history(String id) {
        return histories.computeIfAbsent(id, newId -> new RequestHistory());
    }

    /** Returns how many requests whose ids start with a prefix were executed more than once. */
    long repeats(String prefix) {
        return histories.entrySet().stream()
            .filter(each -> each.getKey().startsWith(prefix) && each.getValue().executionCount() > 1).count();
    }

    /**
     * Returns the faults of the requests whose ids start with a prefix, each with its history: against the
     * rules for attempts, and executions that their endpoint gave no reason to repeat.
     */
    List<String> repeatFaults(String prefix, long windowMicros, int maxAttempts) {
        List<String> faults = new ArrayList<>();
        new TreeMap<>(histories).forEach((id, history) -> {
            String fault = history.repeatFault(windowMicros, maxAttempts);
            fault = fault != null ? fault : history.unexplainedRepeat();
            if (id.startsWith(prefix) && fault != null) {
                faults.add("\n" + id + ": " + fault + history);
            }
        });
        return faults;
    }

    /** Returns how many of the given requests were not served for each reason. */
    Map<String, Long> reasonsNotServed(Collection<String> ids) {
        return ids.stream().map(id -> history(id).reasonNotServed())
            .collect(Collectors.groupingBy(Function.identity(), TreeMap::new, Collectors.counting()));
    }

    /** Returns the histories of the given requests, one event a line. */
    String histories(Collection<String> ids) {
        return ids.stream().map(id -> "\n" + id + history(id)).collect(Collectors.joining());
    }
}
