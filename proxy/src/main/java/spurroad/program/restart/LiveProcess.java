package spurroad.program.restart;

import java.util.Optional;

/**
 * Another live process.
 *
 * @param published its state; empty if it has published none yet or a malformed one
 */
record LiveProcess(long pid, Optional<ProcessState> published) {
    /** Returns whether the process is known to have started after another. */
    boolean isNewerThan(StartOrder other) {
        return published.map(state -> new StartOrder(state.startedAtMillis(), pid))
            .filter(order -> order.isAfter(other))
            .isPresent();
    }

    /** Returns whether the process is known to serve clients. */
    boolean isServing() {
        return published.filter(ProcessState::isServing).isPresent();
    }

    /** Returns whether the process is known to serve clients and not to be shutting down. */
    boolean canTakeOver() {
        return published.filter(ProcessState::canTakeOver).isPresent();
    }

    /** Returns how many descriptors the process is known to claim; 0 if its state is unknown. */
    int descriptors() {
        return published.map(ProcessState::descriptors).orElse(0);
    }

    /** Returns whether the process has applied an operator's call or need not do so. */
    boolean confirms(String endpointHash, boolean drained) {
        return published.map(state -> state.isStarting() || state.hasApplied(endpointHash, drained))
            .orElse(true);
    }
}
