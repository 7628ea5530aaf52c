package spurroad.program;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import spurroad.transport.Clock;

/**
 * What happened to one request: the debug lines of its proxy and its executions at endpoints, in order.
 * Judges whether the proxy was allowed to repeat it, by the records of the endpoints as well as by the
 * proxy's own lines. Thread-safe.
 */
final class RequestHistory {
    private static final Pattern ATTEMPT_LINE = Pattern
        .compile("attempt (decided|sent|ended): .* attempt=(\\d+) .*?(?:outcome=(\\w+) .*)?atMicros=(\\d+)");
    private static final Pattern NOT_SERVED_LINE = Pattern
        .compile("request not served: .* attempts=(\\d+) .*");
    private static final Clock CLOCK = new Clock();
    private static final long NANOS_PER_MICRO = 1_000;

    /** A line of the proxy's log or an execution. */
    private interface Entry {}

    /** A debug line of a proxy. */
    private record LogLine(String proxy, String text) implements Entry {
        @Override
        public String toString() {
            return "\n  " + proxy + ": " + text;
        }
    }

    /** An execution as its endpoint saw it. Times are Unix microseconds, 0 for what has not happened. */
    static final class Execution implements Entry {
        private final String connection = Thread.currentThread().getName();
        private final long readAt = nowMicros(); // the last byte of the request
        private volatile long answeredAt; // the last byte of the response was written
        private volatile long brokenAt; // the endpoint ended the connection before the proxy did

        /** Records that the whole response was written. */
        void onAnswered() {
            answeredAt = nowMicros();
        }

        /** Records that the endpoint ended the connection before the proxy did. */
        void onBrokenByEndpoint() {
            brokenAt = nowMicros();
        }

        /** Returns whether the endpoint broke the connection before it read the request again. */
        private boolean wasBrokenBefore(Execution next) {
            return brokenAt != 0 && brokenAt <= next.readAt;
        }

        private static long nowMicros() {
            return CLOCK.now() / NANOS_PER_MICRO;
        }

        @Override
        public String toString() {
            return "\n  " + connection + ": executed, read at " + readAt + ", answered at " + answeredAt
                + ", connection broken at " + brokenAt;
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
        entries.add(new LogLine(proxy, line));
    }

    /**
     * Records an execution, to which the endpoint adds what follows; called on the thread of the endpoint's
     * connection.
     */
    Execution addExecution() {
        Execution execution = new Execution();
        entries.add(execution);
        return execution;
    }

    /** Returns how often endpoints have executed the request. */
    int executionCount() {
        return executions().size();
    }

    private List<Execution> executions() {
        return entries.stream().filter(Execution.class::isInstance).map(Execution.class::cast).toList();
    }

    private List<LogLine> logLines() {
        return entries.stream().filter(LogLine.class::isInstance).map(LogLine.class::cast).toList();
    }

    /**
     * Returns why the proxy must not have repeated this deduplicated request, or null if all is in order: one
     * attempt at a time, each after the first because the one before ended without a success, within the
     * deduplication window from the first that may have run, at most the given number, and no execution
     * without an attempt of its own.
     */
    String repeatFault(long windowMicros, int maxAttempts) {
        if (logLines().stream().map(LogLine::proxy).distinct().count() > 1) {
            return "sent by several proxies";
        }
        List<TracedAttempt> attempts = new ArrayList<>();
        for (LogLine logLine : logLines()) {
            Matcher line = ATTEMPT_LINE.matcher(logLine.text);
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
        return executionCount() > sent ? executionCount() + " executions for " + sent + " attempts sent"
            : null;
    }

    /**
     * Returns why an endpoint that answers every request must not have executed this one again, or null if
     * all is in order: before each execution after the first, the endpoint itself, and not the proxy, had
     * ended the connection of the execution before. The proxy's own log is no reason.
     */
    String unexplainedRepeat() {
        List<Execution> executions = executions();
        for (int i = 1; i < executions.size(); i++) {
            if (!executions.get(i - 1).wasBrokenBefore(executions.get(i))) {
                return "repeated though the endpoint had kept the connection";
            }
        }
        return null;
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
        for (LogLine logLine : logLines()) {
            Matcher line = ATTEMPT_LINE.matcher(logLine.text);
            if (line.matches() && line.group(1).equals("ended")) {
                outcomes.add(line.group(3));
            }
            decided |= NOT_SERVED_LINE.matcher(logLine.text).matches();
        }
        return decided ? "rejected by the load balancer after " + outcomes
            : "rejected before the load balancer";
    }

    @Override
    public String toString() {
        return entries.stream().map(Entry::toString).collect(Collectors.joining());
    }
}
