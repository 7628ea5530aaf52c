package spurroad.control.distribution;

/** Takes the messages that a decision sends. */
@FunctionalInterface
public interface Outbox {
    void send(ProcessId to, Message message);
}
