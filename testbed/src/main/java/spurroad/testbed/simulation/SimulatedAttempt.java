package spurroad.testbed.simulation;

import spurroad.testbed.time.Timeline;

/** One attempt of a request at a server. */
final class SimulatedAttempt {
    final SimulatedRequest request;
    final int number;
    final ConnectionPool pool;
    Timeline.Alarm timeout;
    boolean isEnded;
    boolean isSent; // its last byte has left the proxy
    boolean holdsConnection;

    SimulatedAttempt(SimulatedRequest request, int number, ConnectionPool pool) {
        this.request = request;
        this.number = number;
        this.pool = pool;
    }
}
