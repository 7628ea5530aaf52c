package spurroad.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import spurroad.model.RequestId;
import spurroad.testbed.model.RequestAttempt;

/**
 * One client's attempt as a request in the simulated proxy, until it has a response and nothing is in flight.
 */
final class SimulatedRequest {
    final RequestId id;
    final RequestAttempt clientAttempt;
    /** Attempts at servers, by their numbers. */
    final List<SimulatedAttempt> attempts = new ArrayList<>(2);
    int inFlight;
    boolean isOver; // it has a response, or its client has disconnected

    SimulatedRequest(RequestId id, RequestAttempt clientAttempt) {
        this.id = id;
        this.clientAttempt = clientAttempt;
    }

    boolean isFinished() {
        return isOver && inFlight == 0;
    }
}
