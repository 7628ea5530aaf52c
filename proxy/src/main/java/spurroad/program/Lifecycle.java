package spurroad.program;

import java.io.IOException;

/**
 * Coordinates the start and the stop of a service, called from two threads. The stop may come before, during
 * or after the start: a service that is starting is stopped once it has started, and none starts after a
 * stop.
 */
final class Lifecycle<S> {
    /** Starts the service. */
    interface Starter<S> {
        S start() throws IOException, InterruptedException;
    }

    /** Stops the service, and returns once it has stopped. */
    interface Stopper<S> {
        void stop(S service) throws InterruptedException;
    }

    private final Stopper<S> stopper;
    private S service; // null until it has started
    private boolean stopped;

    Lifecycle(Stopper<S> stopper) {
        this.stopper = stopper;
    }

    /** Starts the service; after a stop, waits indefinitely until the process exits. */
    synchronized S start(Starter<S> starter) throws IOException, InterruptedException {
        while (stopped) {
            wait();
        }
        service = starter.start();
        return service;
    }

    /** Stops the service once a running start has completed; returns false if no service was started. */
    synchronized boolean stop() {
        stopped = true;
        try {
            if (service != null) {
                stopper.stop(service);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return service != null;
    }
}
