package spurroad.control.distribution.replication;

import spurroad.control.distribution.log.Command;

/** Receives each command that a replica commits, in log order and on the thread that called the replica. */
@FunctionalInterface
public interface CommitListener {
    /** Called after a command was applied; {@code index} is its log index. */
    void onCommit(long index, Command command);
}
