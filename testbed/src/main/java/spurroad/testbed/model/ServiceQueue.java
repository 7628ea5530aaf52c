package spurroad.testbed.model;

import java.util.ArrayDeque;
import java.util.Deque;
import spurroad.testbed.scenario.Scenario.Service;
import spurroad.testbed.time.Timeline;

/** A number of service slots that work in parallel, with one bounded FIFO queue before them. */
final class ServiceQueue {
    /** One piece of work; neither method is called once the queue was {@linkplain #reset() reset}. */
    interface Job {
        /** Returns how long the job takes; called once, when a slot begins to work on it. */
        long serviceTimeNanos();

        /** The slot has finished the job. */
        void onComplete();
    }

    private final Timeline timeline;
    private final Service service;
    private final Deque<Job> waiting = new ArrayDeque<>();
    private int busySlots;
    /** Jobs of an earlier incarnation are dropped when their time is up. */
    private long incarnation;

    ServiceQueue(Timeline timeline, Service service) {
        this.timeline = timeline;
        this.service = service;
    }

    /** Accepts a job unless the queue is full. */
    boolean offer(Job job) {
        if (busySlots >= service.slots()) {
            return waiting.size() < service.queue() && waiting.add(job);
        }
        start(job);
        return true;
    }

    private void start(Job job) {
        long startedIn = incarnation;
        busySlots++;
        timeline.after(job.serviceTimeNanos(), () -> {
            if (startedIn == incarnation) {
                finish(job);
            }
        });
    }

    private void finish(Job job) {
        busySlots--;
        Job next = waiting.poll();
        if (next != null) {
            start(next);
        }
        job.onComplete();
    }

    /** Returns the number of jobs that are served or wait. */
    int inFlight() {
        return busySlots + waiting.size();
    }

    /** Drops all jobs that are served or wait. */
    void reset() {
        incarnation++;
        busySlots = 0;
        waiting.clear();
    }
}
