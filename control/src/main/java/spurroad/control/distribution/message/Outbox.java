package spurroad.control.distribution.message;

import spurroad.control.distribution.ProcessId;

/** Accepts the messages that a process sends. */
@FunctionalInterface
public interface Outbox {
    /** Sends a message to a process. The message may be lost, duplicated, delayed or reordered. */
    void send(ProcessId to, Message message);
}
