/**
 * Decisions of the control service about endpoints, policies and streams, independent of their distribution:
 * merging the endpoints of several sources ({@link spurroad.control.decide.SourceViews}), a guard against a
 * faulty discovery ({@link spurroad.control.decide.MassRemovalGuard}), versioned snapshots
 * ({@link spurroad.control.decide.SnapshotHistory}), the staged rollout of a policy
 * ({@link spurroad.control.decide.Rollout}) and one xDS subscription
 * ({@link spurroad.control.decide.XdsSubscription}).
 *
 * <p>The classes perform no I/O, read no clock and start no threads. They depend on each other only through
 * endpoints and snapshots. Only immutable classes are thread-safe.
 *
 * <p>See {@code docs/design/control.md}.
 */
package spurroad.control.decide;
