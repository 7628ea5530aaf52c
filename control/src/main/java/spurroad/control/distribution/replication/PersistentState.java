package spurroad.control.distribution.replication;

import spurroad.control.distribution.ProcessId;

/**
 * The state that a replica must recover after a restart: its current term, its vote in that term and its log.
 * The process that runs the replica writes the changes of each call to stable storage before it sends the
 * messages of that call. Not thread-safe.
 */
public final class PersistentState {
    private final ReplicatedLog log = new ReplicatedLog();
    private long currentTerm;
    private ProcessId votedFor;

    /** Creates the state of a replica that starts for the first time. */
    public PersistentState() {}

    /** Returns the latest term that the replica has entered; 0 before the first. */
    long currentTerm() {
        return currentTerm;
    }

    /** Returns the candidate that this replica voted for in the current term, or null if it has not voted. */
    ProcessId votedFor() {
        return votedFor;
    }

    /** Returns the log of this replica. */
    ReplicatedLog log() {
        return log;
    }

    /** Enters a later term, in which this replica has not voted yet. */
    void enterTerm(long laterTerm) {
        currentTerm = laterTerm;
        votedFor = null;
    }

    /** Votes for a candidate in the current term. */
    void voteFor(ProcessId candidate) {
        votedFor = candidate;
    }
}
