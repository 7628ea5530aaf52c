/**
 * Hot restart: several processes of one proxy share its listening socket, which the platform holds, and one
 * directory, through which a process hands over to its successor. {@link spurroad.program.restart.HotRestart}
 * is the entry point; each of its components answers one question:
 *
 * <ul>
 * <li>{@link spurroad.program.restart.ProcessMembership}: which processes live, and which is the newest?
 * <li>{@link spurroad.program.restart.AdminDrainStore}: which endpoints are administratively drained?
 * <li>{@link spurroad.program.restart.DescriptorQuota}: how many descriptors may this process hold?
 * <li>{@link spurroad.program.restart.HotRestartDirectory}: what do the files contain, and are they
 * accessible?</ul>
 *
 * <p>The directory is {@code $TMPDIR/spurroad-NAME}. Every process reads it every 50 ms while another process
 * lives or an operator's call is unanswered, else every 250 ms. Its files:
 *
 * <ul>
 * <li>{@code PID.lock}: empty; the process PID creates the file and holds a lock on it as long as it lives.
 * Every other process tries to acquire the lock.
 * <li>{@code PID.state}: the {@link spurroad.program.restart.ProcessState} of the process PID, encoded by
 * {@link spurroad.program.restart.ProcessStateFormat}. That process writes it whenever its state changes;
 * every other process reads it.
 * <li>{@code out-HASH}: the id of an endpoint that an operator drained, encoded by
 * {@link spurroad.program.restart.AdminDrainFormat}. The process that receives the operator's call writes it;
 * the process that receives the call to return the endpoint to use deletes it. Every process reads it,
 * including processes that start later.
 * <li>{@code NAME.PID.part}: the temporary file that the process PID writes and then renames to NAME. No
 * process reads it.</ul>
 *
 * <p>Invariants:
 *
 * <ul>
 * <li>A process lives exactly as long as the lock on its file is held. The operating system releases the lock
 * however the process ends. A process that finds the lock free deletes the files of the dead process, except
 * for those of drained endpoints, which outlive all processes.
 * <li>A file other than a lock is written to a temporary file, synced and renamed, so a reader sees all of it
 * or none. A file that is malformed nevertheless is logged and ignored: it neither drains an endpoint nor
 * ends a drain. A process whose state is missing or malformed still counts as alive, but no call waits for
 * it.
 * <li>Of two processes the newer is the one with the later {@link spurroad.program.restart.StartOrder}, even
 * if the system clock was set back.
 * <li>An operator's call is answered with success only once the directory contains it and every serving
 * process has published that it applied it, or once a later call about the same endpoint has replaced it.
 * <li>Each process publishes the greater of its descriptor limit and the descriptors in use; the newest
 * process takes the rest.
 * <li>No failure of the directory prevents a process from serving. The next poll retries failed
 * operations.</ul>
 *
 * <p>Unless a method states otherwise, all code of this package runs on the single thread of
 * {@link spurroad.program.restart.HotRestart}, or before that thread starts.
 */
package spurroad.program.restart;
