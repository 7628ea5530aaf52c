package spurroad.testbed.model;

import java.util.OptionalLong;
import spurroad.model.Effect;
import spurroad.testbed.model.ClientRequest.Outcome;
import spurroad.testbed.scenario.Scenario;
import spurroad.testbed.scenario.Scenario.Load;
import spurroad.testbed.time.Timeline;

/**
 * All clients. Requests are due in a Poisson process whose rate doesn't depend on how earlier requests end
 * (open loop). A client attempts its request until it is served, must not be retried, or the client's
 * patience is over. The generator doesn't know how attempts reach a proxy. Not thread-safe: used on the
 * timeline's thread.
 */
public final class LoadGenerator {
    /** Carries attempts to proxies. */
    public interface Gateway {
        /** Chooses the proxy of the next attempt. */
        int choose();

        /** Sends an attempt as soon as a connection is available. */
        void send(RequestAttempt attempt);

        /** The client stops waiting: withdraws the attempt, by closing its connection if it was sent. */
        void leave(RequestAttempt attempt);
    }

    /** Is notified of the life of each request. */
    public interface RequestListener {
        /** A request is due. */
        void onDue(ClientRequest request);

        /** A request has ended, after its last attempt. */
        void onEnd(ClientRequest request, Outcome outcome, long timeNanos);

        /** The generator itself handled a request late by some nanoseconds. */
        void onGeneratorLag(ClientRequest request, long lagNanos);
    }

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MIN_RATE_FACTOR = 1e-3;

    private final Load load;
    private final Timeline timeline;
    private final Gateway gateway;
    private final RequestListener listener;
    private final RandomStream arrivals;
    private final KeyDistribution keys;
    private final RequestFactory requests;
    private final ClientRetryPolicy retryPolicy;
    private double rateFactor = 1;
    private long nextDueNanos;
    private long endNanos;

    /** Creates the load of a scenario; the same seed gives the same requests at the same times. */
    public LoadGenerator(Scenario scenario, long seed, Timeline timeline, Gateway gateway,
                         RequestListener listener) {
        load = scenario.load();
        this.timeline = timeline;
        this.gateway = gateway;
        this.listener = listener;
        arrivals = new RandomStream(seed, "arrivals");
        RandomStream clients = new RandomStream(seed, "queries");
        keys = new KeyDistribution(load, new RandomStream(seed, "keys"));
        requests = new RequestFactory(load, clients, keys);
        retryPolicy = new ClientRetryPolicy(load.clients(), clients);
    }

    /** Starts the load, which ends at a time on the timeline. */
    public void begin(long untilNs) {
        endNanos = untilNs;
        nextDueNanos = timeline.now();
        scheduleNext();
    }

    private void scheduleNext() {
        double meanIntervalNanos = NANOS_PER_SECOND / (load.perSecond() * rateFactor);
        nextDueNanos += arrivals.nextDurationNanos(meanIntervalNanos, 1);
        if (nextDueNanos < endNanos) {
            timeline.at(nextDueNanos, this::onRequestDue);
        }
    }

    private void onRequestDue() {
        ClientRequest request = requests.create(nextDueNanos);
        listener.onDue(request);
        listener.onGeneratorLag(request, timeline.now() - nextDueNanos);
        scheduleNext();
        startAttempt(request);
    }

    private void startAttempt(ClientRequest request) {
        long now = timeline.now();
        long giveUpAtNanos = retryPolicy.giveUpAtNanos(request);
        if (request.ended || now >= giveUpAtNanos) {
            end(request, Outcome.UNANSWERED);
            return;
        }
        int number = ++request.attempts;
        String id = "q" + Long.toHexString(request.number) + "." + number;
        long deadline = Math.min(giveUpAtNanos, now + request.track.timeoutNs());
        RequestAttempt attempt = new RequestAttempt(id, request, number, gateway.choose(), deadline);
        attempt.deadlineAlarm = timeline.at(deadline, () -> onDeadline(attempt));
        gateway.send(attempt);
    }

    private void onDeadline(RequestAttempt attempt) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        gateway.leave(attempt);
        if (isIdempotent(attempt)) {
            retryOrEnd(attempt.request, Outcome.UNANSWERED, 0);
        } else {
            end(attempt.request, Outcome.UNANSWERED);
        }
    }

    /** The gateway received a response to an attempt; the first one counts. */
    public void answered(RequestAttempt attempt, Answer answer) {
        if (attempt.ended) {
            return;
        }
        endAttempt(attempt);
        ClientRequest request = attempt.request;
        switch (answer.kind()) {
            case VALUE, RECEIPT -> end(request, servedOutcome(request));
            case REJECTED -> retryOrEnd(request, Outcome.REJECTED, answer.retryAfterNanos());
            case FAILED -> onFailure(attempt, isIdempotent(attempt));
        }
    }

    /**
     * An attempt's connection ended without a response.
     *
     * @param sent whether the whole attempt was written, so that the proxy may have accepted it
     */
    public void broken(RequestAttempt attempt, boolean sent) {
        if (!attempt.ended) {
            endAttempt(attempt);
            onFailure(attempt, !sent || isIdempotent(attempt));
        }
    }

    private void onFailure(RequestAttempt attempt, boolean mayRetry) {
        if (mayRetry) {
            retryOrEnd(attempt.request, Outcome.FAILED, 0);
        } else {
            end(attempt.request, Outcome.FAILED);
        }
    }

    private Outcome servedOutcome(ClientRequest request) {
        long latencyNanos = timeline.now() - request.due;
        return latencyNanos <= request.track.sloNs() ? Outcome.IN_TIME : Outcome.LATE;
    }

    private static boolean isIdempotent(RequestAttempt attempt) {
        return attempt.request.track.effect() == Effect.IDEMPOTENT;
    }

    private static void endAttempt(RequestAttempt attempt) {
        attempt.ended = true;
        attempt.deadlineAlarm.cancel();
    }

    private void retryOrEnd(ClientRequest request, Outcome outcomeWithoutRetry, long retryAfterNanos) {
        OptionalLong pause = retryPolicy.pauseNanos(request, timeline.now(), retryAfterNanos);
        if (pause.isPresent()) {
            timeline.after(pause.getAsLong(), () -> startAttempt(request));
        } else {
            end(request, outcomeWithoutRetry);
        }
    }

    private void end(ClientRequest request, Outcome outcome) {
        if (!request.ended) {
            request.ended = true;
            listener.onEnd(request, outcome, timeline.now());
        }
    }

    /** Sets a factor on the rate of requests; 1 for no fault. */
    public void times(double factor) {
        rateFactor = Math.max(MIN_RATE_FACTOR, factor);
    }

    /** Sets the fraction of all requests that ask for one hot key, which is drawn anew. */
    public void hot(double part) {
        keys.setHotKeyFraction(part);
    }
}
