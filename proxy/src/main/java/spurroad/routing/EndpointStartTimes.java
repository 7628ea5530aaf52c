package spurroad.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import spurroad.model.Endpoint;
import spurroad.model.EndpointId;

/**
 * Translates the start times of listed endpoints to this process's clock. A list states the time of day at
 * which an endpoint started, by the clock of another machine, which may be stepped by seconds or by an hour.
 * A start that was not listed before cannot be earlier than the last line from discovery that still described
 * the state without it, nor later than the moment at which it was listed.
 *
 * <p>Decisions use the start times as ids of incarnations, so a start keeps its time once it was translated.
 * Used by one thread only.
 */
final class EndpointStartTimes {
    /** No line from discovery arrived before: a start may be as early as it is listed. */
    static final long NEVER = Long.MIN_VALUE;

    private record Start(long listedNanos, long localNanos) {}

    /** Endpoints, including removed ones: an endpoint that is listed again has not started again. */
    private static final int MAX_REMEMBERED = 8_192;

    private final Map<EndpointId, Start> starts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointId, Start> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    /**
     * Returns the endpoint with its start time by this process's clock.
     *
     * @param previousContactNanos when discovery's line before this list arrived, Unix nanoseconds;
     *     {@link #NEVER} if there was none
     */
    Endpoint toLocalTime(Endpoint listed, long previousContactNanos, long nowNanos) {
        long listedNanos = listed.startedAtNanos();
        if (listedNanos == 0) {
            starts.remove(listed.id());
            return listed; // started long ago, by any clock
        }
        Start translated = starts.get(listed.id());
        if (translated == null || translated.listedNanos != listedNanos) {
            translated = new Start(listedNanos,
                Math.min(nowNanos, Math.max(previousContactNanos, listedNanos)));
            starts.put(listed.id(), translated);
        }
        return listed.withStartTime(translated.localNanos);
    }
}
