package spurroad.program.restart;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import spurroad.transport.EventLog;

/**
 * The endpoints that operators drained: applies an operator's call in this process, persists it, applies what
 * was persisted by other processes, and answers the call once every process that serves has applied it.
 *
 * <p>A drain is persisted as long as it lasts, so it outlives all processes. While a call is not applied or
 * not persisted yet, it takes precedence over the directory, whose content is then older.
 */
final class AdminDrainStore {
    /** Where drains are persisted; any operation may fail for a while and be tried again. */
    interface Files {
        PersistedDrains readDrains() throws IOException;

        /** Persists that an endpoint is drained, or that it no longer is. */
        void writeDrain(String endpointId, boolean drained) throws IOException;
    }

    /** What drains an endpoint in this process. */
    interface Target {
        /**
         * Drains an endpoint or uses it again.
         *
         * @param vouched whether another process knew the endpoint, so that this one needn't
         * @param known is told, on any thread, whether there is such an endpoint; if not, nothing was done
         */
        void setDrained(String endpointId, boolean drained, boolean vouched, Consumer<Boolean> known);
    }

    /** An operator's call that not all processes have applied yet. */
    private record UnconfirmedCall(String endpointHash, boolean drained, Consumer<Boolean> answer) {}

    /** An operator's call that is not persisted yet. */
    private record UnpersistedCall(String endpointId, boolean drained) {}

    private final Files files;
    private final Target target;
    private final Executor ownThread;
    private final EventLog log;
    private final Map<String, String> drainedIdsByHash = new HashMap<>();
    // hashes; an endpoint is listed once a call
    private final List<String> applying = new ArrayList<>();
    private final Map<String, UnpersistedCall> unpersistedByHash = new HashMap<>();
    private final List<UnconfirmedCall> unconfirmed = new ArrayList<>();

    /**
     * Creates a store in which no endpoint is drained yet.
     *
     * @param ownThread runs the target's answers on the thread that calls this store
     */
    AdminDrainStore(Files files, Target target, Executor ownThread, EventLog log) {
        this.files = files;
        this.target = target;
        this.ownThread = ownThread;
        this.log = log;
    }

    /** Hashes of the endpoints that this process has drained. */
    Set<String> drainedHashes() {
        return Set.copyOf(drainedIdsByHash.keySet());
    }

    /** Whether the target has still to answer a call. */
    boolean isApplying() {
        return !applying.isEmpty();
    }

    /** Whether an operator has still to be answered. */
    boolean hasUnconfirmedCalls() {
        return !unconfirmed.isEmpty();
    }

    /**
     * Applies an operator's call.
     *
     * @param onApplied called once this process has applied the call: it holds here from then on, and is
     *     tried until it is persisted, whatever the operator is told meanwhile
     * @param answer false if there is no such endpoint; true once all processes have applied the call
     */
    void onAdminCall(String endpointId, boolean drained, Runnable onApplied, Consumer<Boolean> answer) {
        apply(endpointId, drained, false, known -> {
            if (!known) {
                answer.accept(false);
                return;
            }
            onApplied.run();
            String hash = AdminDrainFormat.endpointHash(endpointId);
            unpersistedByHash.put(hash, new UnpersistedCall(endpointId, drained));
            unconfirmed.add(new UnconfirmedCall(hash, drained, answer));
        });
    }

    private void apply(String endpointId, boolean drained, boolean vouched, Consumer<Boolean> then) {
        String hash = AdminDrainFormat.endpointHash(endpointId);
        applying.add(hash);
        target.setDrained(endpointId, drained, vouched, known -> ownThread.execute(() -> {
            applying.remove(hash);
            if (known) {
                remember(endpointId, hash, drained);
            }
            then.accept(known);
        }));
    }

    private void remember(String endpointId, String hash, boolean drained) {
        if (drained) {
            drainedIdsByHash.put(hash, endpointId);
        } else {
            drainedIdsByHash.remove(hash);
        }
    }

    /** Persists operators' calls; a call that can't be persisted is tried again the next time. */
    void persistCalls() {
        Iterator<UnpersistedCall> calls = unpersistedByHash.values().iterator();
        while (calls.hasNext()) {
            UnpersistedCall call = calls.next();
            try {
                files.writeDrain(call.endpointId, call.drained);
                calls.remove();
            } catch (IOException e) {
                log.warn("admin drain can't be persisted yet",
                    "endpoint=" + call.endpointId + " drained=" + call.drained + " error=" + e);
            }
        }
    }

    /** Applies what has been persisted, by any process, and is not applied here yet. */
    void applyPersisted() throws IOException {
        PersistedDrains persisted = files.readDrains();
        persisted.endpointIdsByHash().forEach((hash, endpointId) -> {
            if (!drainedIdsByHash.containsKey(hash) && !isNewerThanDirectory(hash)) {
                apply(endpointId, true, true, known -> {});
            }
        });
        for (Map.Entry<String, String> drained : List.copyOf(drainedIdsByHash.entrySet())) {
            if (persisted.isNotDrained(drained.getKey()) && !isNewerThanDirectory(drained.getKey())) {
                apply(drained.getValue(), false, true, known -> {});
            }
        }
    }

    /** Whether this process has been told something about an endpoint that the directory does not say yet. */
    private boolean isNewerThanDirectory(String endpointHash) {
        return applying.contains(endpointHash) || unpersistedByHash.containsKey(endpointHash);
    }

    /** Answers the calls that all processes have applied, and those that a later call has replaced. */
    void answerConfirmedCalls(List<LiveProcess> others) {
        Iterator<UnconfirmedCall> calls = unconfirmed.iterator();
        while (calls.hasNext()) {
            UnconfirmedCall call = calls.next();
            if (isReplaced(call) || isConfirmed(call, others)) {
                calls.remove();
                call.answer.accept(true);
            }
        }
    }

    private boolean isReplaced(UnconfirmedCall call) {
        return drainedIdsByHash.containsKey(call.endpointHash) != call.drained;
    }

    private boolean isConfirmed(UnconfirmedCall call, List<LiveProcess> others) {
        return !unpersistedByHash.containsKey(call.endpointHash)
            && others.stream().allMatch(other -> other.confirms(call.endpointHash, call.drained));
    }
}
