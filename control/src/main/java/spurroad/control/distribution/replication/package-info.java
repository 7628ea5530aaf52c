/**
 * The core's replicated log, after Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
 * Algorithm", 2014; Ongaro's thesis for the pre-vote). One
 * {@link spurroad.control.distribution.replication.RaftReplica} runs on each control machine. It is divided
 * by concern:
 *
 * <ul>
 * <li>role and term: {@code RoleState} with the transitions of {@code Role}, {@code ElectionTimer}
 * <li>election: {@code Election} for candidates, {@code Voter} for voters
 * <li>replication: {@code LeaderReplication} with a {@code FollowerProgress} for each follower, and {@code
 * FollowerReplication}
 * <li>application: {@code StateMachine} applies committed entries
 * <li>storage: {@link spurroad.control.distribution.replication.PersistentState} with its {@code
 * ReplicatedLog}</ul>
 *
 * <p>Invariants, as in Raft: a term has at most one leader; a leader only appends to its log; logs that agree
 * on the term of an entry agree on all entries before it; a leader has all entries that were committed in
 * earlier terms; all replicas apply the same command at the same index. The differences from Raft are
 * documented in {@code RaftReplica} and in the classes concerned.
 *
 * <p>Known limits are in {@code docs/design/distribution.md}, under open matters. Not thread-safe.
 */
package spurroad.control.distribution.replication;
