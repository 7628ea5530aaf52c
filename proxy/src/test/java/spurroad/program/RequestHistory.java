package spurroad.program;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * What happened to one request: the debug lines of its proxy and its executions at endpoints, in order.
 * Judges whether the proxy was allowed to repeat it. Thread-safe.
 */
final class RequestHistory {
    private static final Pattern ATTEMPT_LINE = Pattern
        .compile("attempt (decided|sent|ended): .* attempt=(\\d+) .*?(?:outcome=(\\w+) .*)?atMicros=(\\d+)");
    private static final Pattern NOT_SERVED_LINE = Pattern
        .compile("request not served: .* attempts=(\\d+) .*");
    private static final String EXECUTED = "executed";

    /** A line of the proxy's log or an execution. */
    private record Entry(String source, String text) {
        @Override
        public String toString() {
            return "\n  " + source + ": " + text;
        }
    }

    /** What the log says of one attempt; times are in microseconds. */
    private static final class TracedAttempt {
        private long decidedAt;
        private boolean sent;
        private String outcome; // null until it has ended
    }

    private final Queue<Entry> entries = new ConcurrentLinkedQueue<>();

    /** Records a debug line of a proxy about this request. */
    void addLine(String proxy, String line) {
        entries.add(new Entry(proxy, line));
    }

    /** Records an execution; called on the thread of the endpoint's connection. */
    void addExecution() {
        entries.add(new Entry(Thread.currentThread().getName(), EXECUTED + " at " + System.nanoTime() / 1_000
            + " us of the monotonic clock"));
    }

    /** Returns how often endpoints have executed the request. */
    int executions() {
        return (int) entries.stream().filter(entry -> entry.text.startsWith(EXECUTED)).count();
    }

    /**
     * Returns why the proxy must not have repeated this deduplicated request, or null if all is in order: one
     * attempt at a time, each after the first because the one before ended without a success, within the
     * deduplication window from the first that may have run, at most the given number, and no execution
     * without an attempt of its own.
     */
    String repeatFault(long windowMicros, int maxAttempts) {
        if (entries.stream().filter(entry -> !entry.text.startsWith(EXECUTED)).map(Entry::source).distinct()
            .count() > 1) {
            return "sent by several proxies";
        }
        List<TracedAttempt> attempts = new ArrayList<>();
        for (Entry entry : entries) {
            Matcher line = ATTEMPT_LINE.matcher(entry.text);
            if (line.matches()) {
                String fault = addToAttempts(attempts, line, windowMicros);
                if (fault != null) {
                    return fault;
                }
            }
        }
        if (attempts.size() > maxAttempts) {
            return attempts.size() + " attempts";
        }
        long sent = attempts.stream().filter(attempt -> attempt.sent).count();
        return executions() > sent ? executions() + " executions for " + sent + " attempts sent" : null;
    }

    private static String addToAttempts(List<TracedAttempt> attempts, Matcher line, long windowMicros) {
        int number = Integer.parseInt(line.group(2));
        long atMicros = Long.parseLong(line.group(4));
        switch (line.group(1)) {
            case "decided" -> {
                String fault = retryFault(attempts, atMicros, windowMicros);
                if (fault != null || number != attempts.size() + 1) {
                    return fault != null ? fault : "attempt " + number + " after " + attempts.size();
                }
                attempts.add(new TracedAttempt());
                attempts.get(number - 1).decidedAt = atMicros;
            }
            case "sent" -> attempts.get(number - 1).sent = true;
            default -> attempts.get(number - 1).outcome = line.group(3);
        }
        return null;
    }

    private static String retryFault(List<TracedAttempt> attempts, long atMicros, long windowMicros) {
        for (TracedAttempt earlier : attempts) {
            if (earlier.outcome == null) {
                return "retried while an attempt was in flight";
            }
            if (earlier.outcome.equals("SUCCEEDED")) {
                return "retried after a success";
            }
            if (earlier.sent && atMicros >= earlier.decidedAt + windowMicros) {
                return "retried after the deduplication window";
            }
        }
        return null;
    }

    /**
     * Returns why the request was not served: the outcomes of its attempts, or that its proxy never gave it
     * to the load balancer.
     */
    String reasonNotServed() {
        List<String> outcomes = new ArrayList<>();
        boolean decided = false;
        for (Entry entry : entries) {
            Matcher line = ATTEMPT_LINE.matcher(entry.text);
            if (line.matches() && line.group(1).equals("ended")) {
                outcomes.add(line.group(3));
            }
            decided |= NOT_SERVED_LINE.matcher(entry.text).matches();
        }
        return decided ? "rejected by the load balancer after " + outcomes
            : "rejected before the load balancer";
    }

    @Override
    public String toString() {
        return entries.stream().map(Entry::toString).collect(Collectors.joining());
    }
}
