package spurroad.testbed.net;

import spurroad.testbed.checker.RuleChecker;
import spurroad.testbed.model.Answer;
import spurroad.testbed.model.LoadGenerator;
import spurroad.testbed.model.RequestAttempt;
import spurroad.testbed.time.Timeline;

/** Reports what happens to attempts on client connections to the rule checker and the load generator. */
final class AttemptEvents {
    private final Timeline timeline;
    private final RuleChecker checker;
    private LoadGenerator generator;

    AttemptEvents(Timeline timeline, RuleChecker checker) {
        this.timeline = timeline;
        this.checker = checker;
    }

    void setGenerator(LoadGenerator generator) {
        this.generator = generator;
    }

    /** An attempt is about to be written; returns its command. */
    String onSending(RequestAttempt attempt) {
        long now = timeline.now();
        checker.sending(now, attempt);
        return MetaClient.command(attempt, now);
    }

    /** The last byte of an attempt was written. */
    void onWritten(RequestAttempt attempt) {
        checker.taken(timeline.now(), attempt);
    }

    /** A response was received, whether or not it is the first one. */
    void onReceived(RequestAttempt attempt, Answer answer) {
        checker.answered(timeline.now(), attempt, answer);
    }

    /** The attempt ends with its first response. */
    void onAnswered(RequestAttempt attempt, Answer answer) {
        generator.answered(attempt, answer);
    }

    /** The client stops waiting for an attempt. */
    void onWithdrawn(RequestAttempt attempt) {
        checker.left(timeline.now(), attempt);
    }

    /** A connection ended without a response to an attempt. */
    void onDisconnected(RequestAttempt attempt, boolean written) {
        checker.cutOff(timeline.now(), attempt);
        generator.broken(attempt, written);
    }
}
