package spurroad.testbed.checker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import spurroad.testbed.model.ClientRequest;
import spurroad.testbed.model.LoadGenerator;
import spurroad.testbed.scenario.Scenario;

/**
 * Counts how client requests ended: by the second in which they were due, by request class and by tenant.
 * Latency is measured from when a request was due. Requests that are due during the warm-up count in their
 * second only. Not thread-safe: used on the thread of the environment's timeline.
 */
public final class OutcomeStatistics implements LoadGenerator.RequestListener {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MICRO = 1_000L;
    /** Ten minutes; a longer latency is recorded as this. */
    private static final long MAX_LATENCY_MICROS = 600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    /** There is one histogram a second, so that each must be small. */
    private static final int SIGNIFICANT_DIGITS_PER_SECOND = 2;

    /** The outcomes of a group of requests, and their value by the priority weights of their classes. */
    public static final class Count {
        /** Requests that were due. */
        public long due;
        /** Requests that were served within their latency objective. */
        public long inTime;
        /** Requests that were served later than that. */
        public long late;
        /** Requests whose last attempt was rejected. */
        public long rejected;
        /** Requests whose last attempt failed. */
        public long failed;
        /** Requests whose client gave up waiting. */
        public long unanswered;
        /** Sum of the priority weights of all requests that were due. */
        public double worthDue;
        /** Sum of the priority weights that were earned; a late response earns a part of its weight. */
        public double worthGot;

        private void addDue(ClientRequest request) {
            due++;
            worthDue += request.track.importance();
        }

        private void addOutcome(ClientRequest request, ClientRequest.Outcome outcome) {
            switch (outcome) {
                case IN_TIME -> inTime++;
                case LATE -> late++;
                case REJECTED -> rejected++;
                case FAILED -> failed++;
                case UNANSWERED -> unanswered++;
            }
            worthGot += earnedWeight(request, outcome);
        }

        private static double earnedWeight(ClientRequest request, ClientRequest.Outcome outcome) {
            return switch (outcome) {
                case IN_TIME -> request.track.importance();
                case LATE -> request.track.importance() * request.track.late();
                case REJECTED, FAILED, UNANSWERED -> 0;
            };
        }

        /** Returns the earned part of the weight that was due, from 0 to 1; 1 if nothing was due. */
        public double goodput() {
            return worthDue == 0 ? 1 : worthGot / worthDue;
        }
    }

    private final long warmUpNanos;
    private final List<Count> countsBySecond = new ArrayList<>();
    private final List<Histogram> latencyMicrosBySecond = new ArrayList<>();
    private final Map<String, Count> countsByRequestClass = new LinkedHashMap<>();
    private final Map<String, Count> countsByTenant = new LinkedHashMap<>();
    private final Count total = new Count();
    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram generatorLagMicros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);

    /** Creates empty statistics for the request classes, tenants and warm-up of a scenario. */
    public OutcomeStatistics(Scenario scenario) {
        warmUpNanos = scenario.warmNs();
        scenario.load().tracks().forEach(c -> countsByRequestClass.put(c.name(), new Count()));
        scenario.load().customers().forEach(t -> countsByTenant.put(t.name(), new Count()));
    }

    @Override
    public void onDue(ClientRequest request) {
        countsOfSecond(request).addDue(request);
        if (isMeasured(request)) {
            updateMeasured(request, count -> count.addDue(request));
        }
    }

    @Override
    public void onEnd(ClientRequest request, ClientRequest.Outcome outcome, long timeNanos) {
        countsOfSecond(request).addOutcome(request, outcome);
        if (isMeasured(request)) {
            updateMeasured(request, count -> count.addOutcome(request, outcome));
        }
        if (outcome == ClientRequest.Outcome.IN_TIME || outcome == ClientRequest.Outcome.LATE) {
            recordLatency(request, timeNanos - request.due);
        }
    }

    @Override
    public void onGeneratorLag(ClientRequest request, long lagNanos) {
        if (isMeasured(request)) {
            generatorLagMicros.recordValue(recordableMicros(lagNanos));
        }
    }

    private boolean isMeasured(ClientRequest request) {
        return request.due >= warmUpNanos;
    }

    private void updateMeasured(ClientRequest request, Consumer<Count> update) {
        update.accept(total);
        update.accept(countsByRequestClass.get(request.track.name()));
        update.accept(countsByTenant.get(request.customer.name()));
    }

    private void recordLatency(ClientRequest request, long latencyNanos) {
        long micros = recordableMicros(latencyNanos);
        latencyMicrosBySecond.get(secondOf(request)).recordValue(micros);
        if (isMeasured(request)) {
            latencyMicros.recordValue(micros);
        }
    }

    private static long recordableMicros(long nanos) {
        return Math.min(MAX_LATENCY_MICROS, Math.max(0, nanos) / NANOS_PER_MICRO);
    }

    private static int secondOf(ClientRequest request) {
        return (int) (request.due / NANOS_PER_SECOND);
    }

    private Count countsOfSecond(ClientRequest request) {
        int second = secondOf(request);
        while (countsBySecond.size() <= second) {
            countsBySecond.add(new Count());
            latencyMicrosBySecond.add(new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS_PER_SECOND));
        }
        return countsBySecond.get(second);
    }

    /** Returns the outcomes of all requests after the warm-up. */
    public Count all() {
        return total;
    }

    /** Returns the outcomes after the warm-up by the name of the request class. */
    public Map<String, Count> tracks() {
        return countsByRequestClass;
    }

    /** Returns the outcomes after the warm-up by the name of the tenant. */
    public Map<String, Count> customers() {
        return countsByTenant;
    }

    /** Returns the outcomes by the second in which requests were due, from the start of the load. */
    public List<Count> seconds() {
        return countsBySecond;
    }

    /** Returns the latency, in microseconds, of the served requests that were due in a second. */
    public Histogram latencyUs(int second) {
        return latencyMicrosBySecond.get(second);
    }

    /** Returns the latency, in microseconds, of all requests served after the warm-up. */
    public Histogram latencyUs() {
        return latencyMicros;
    }

    /** Returns how late the load generator itself was, in microseconds. */
    public Histogram lateUs() {
        return generatorLagMicros;
    }
}
