package spurroad.program.restart;

import java.util.Set;

/**
 * The state that one process publishes to the others that share its listening socket.
 *
 * @param startedAtMillis Unix time at which the process started; later than that of every process that lived
 *     then, even if the system clock was set back since
 * @param servingSinceMillis Unix time at which the process began to serve; {@link #NOT_SERVING_YET} before
 * @param shuttingDown whether the process is shutting down, which may begin before it serves
 * @param descriptors number for clients and endpoints: the limit of the process, or those in use if they are
 *     more
 * @param drainedEndpointHashes the administratively drained endpoints that this process has drained, see
 *     {@link AdminDrainFormat#endpointHash}
 */
record ProcessState(long startedAtMillis, long servingSinceMillis, boolean shuttingDown, int descriptors,
                    Set<String> drainedEndpointHashes) {
    static final long NOT_SERVING_YET = 0;

    ProcessState {
        drainedEndpointHashes = Set.copyOf(drainedEndpointHashes);
    }

    /** Returns whether the process is still starting; operators' calls do not wait for such a process. */
    boolean isStarting() {
        return servingSinceMillis == NOT_SERVING_YET;
    }

    /** Returns whether the process serves clients, possibly while shutting down. */
    boolean isServing() {
        return servingSinceMillis > NOT_SERVING_YET;
    }

    /** Returns whether the process serves clients and is not shutting down. */
    boolean canTakeOver() {
        return isServing() && !shuttingDown;
    }

    /** Returns whether the process has applied an operator's call about an endpoint. */
    boolean hasApplied(String endpointHash, boolean drained) {
        return drainedEndpointHashes.contains(endpointHash) == drained;
    }
}
