package spurroad.program;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import spurroad.fixture.RecordingEndpoints;

/** Records when the attempts of one trial arrived at their endpoints, by request id. Thread-safe. */
final class AttemptLog {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final String DISCONNECTING_CLIENT_PREFIX = "[wf]"; // precedes the trial number

    private final int trial;
    private final Map<String, Long> arrivedAtNanos = new ConcurrentHashMap<>();

    /** Creates the log of a trial. Ids of other trials are recorded, but never counted. */
    AttemptLog(int trial) {
        this.trial = trial;
    }

    /** Returns the part of a client's request ids that follows their first letter. */
    String idSuffix(int client) {
        return trial + "n" + client;
    }

    /**
     * Records that the last byte of an attempt arrived now, unless an earlier attempt of its request is
     * recorded.
     */
    void record(String id) {
        arrivedAtNanos.putIfAbsent(id, System.nanoTime());
    }

    /**
     * Adds the arrivals that endpoints recorded; the later time counts if both recorded one. If {@code
     * fetchesOnly}, only arrivals at the origin are added.
     */
    void addAll(RecordingEndpoints endpoints, boolean fetchesOnly) {
        endpoints.firstArrivalNanos().forEach((id, arrivalNanos) -> {
            if (!fetchesOnly || id.startsWith(RecordingEndpoints.AT_ORIGIN)) {
                arrivedAtNanos.merge(id.replace(RecordingEndpoints.AT_ORIGIN, ""), arrivalNanos, Math::max);
            }
        });
    }

    boolean contains(String id) {
        return arrivedAtNanos.containsKey(id);
    }

    int size() {
        return arrivedAtNanos.size();
    }

    /** Returns the request ids of this trial's disconnecting clients whose attempts arrived after a time. */
    List<String> arrivedAfter(long thresholdNanos) {
        return arrivedAtNanos.keySet().stream()
            .filter(id -> isOfDisconnectingClient(id) && arrivedAtNanos.get(id) > thresholdNanos)
            .sorted().toList();
    }

    /**
     * Returns how long after its client disconnected the last attempt arrived, in milliseconds; -1 if none
     * arrived.
     */
    long latestMillisAfter(long[] disconnectedAtNanos) {
        return arrivedAtNanos.keySet().stream().filter(this::isOfDisconnectingClient)
            .mapToLong(id -> (arrivedAtNanos.get(id) - disconnectedAtNanos[client(id)]) / NANOS_PER_MILLI)
            .max().orElse(-1);
    }

    private boolean isOfDisconnectingClient(String id) {
        return id.matches(DISCONNECTING_CLIENT_PREFIX + trial + "n\\d+");
    }

    private static int client(String id) {
        return Integer.parseInt(id.substring(id.indexOf('n') + 1));
    }
}
