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
 * Administratively drained endpoints: applies an operator's call in this process, persists it, applies the
 * drains that other processes persisted, and answers the call once every serving process has applied it.
 *
 * <p>A drain is persisted as long as it lasts, so it outlives all processes. While a call is not applied or
 * not persisted yet, it takes precedence over the directory, whose content is then older.
 */
final class AdminDrainStore {
    /** The storage of drains; any operation may fail temporarily and can be retried. */
    interface Files {
        PersistedDrains readDrains() throws IOException;

        /** Persists that an endpoint is drained, or deletes its persisted drain. */
        void writeDrain(String endpointId, boolean drained) throws IOException;
    }

    /** Drains endpoints in this process. */
    interface Target {
        /**
         * Drains an endpoint or returns it to use.
         *
         * @param knownElsewhere whether another process knows the endpoint, so that this one need not
         * @param onResult called on any thread with whether the endpoint exists; if not, nothing was changed
         */
        void setDrained(String endpointId, boolean drained, boolean knownElsewhere,
                        Consumer<Boolean> onResult);
    }

    /** An operator's call that some process has not applied yet. */
    private record UnconfirmedCall(String endpointHash, boolean drained, Consumer<Boolean> answer) {}

    /** An operator's call that is not persisted yet. */
    private record UnpersistedCall(String endpointId, boolean drained) {}

    private final Files files;
    private final Target target;
    private final Executor ownThread;
    private final EventLog log;
    private final Map<String, String> drainedIdsByHash = new HashMap<>();
    // endpoint hashes, one entry for each pending call
    private final List<String> applying = new ArrayList<>();
    private final Map<String, UnpersistedCall> unpersistedByHash = new HashMap<>();
    private final List<UnconfirmedCall> unconfirmed = new ArrayList<>();

    /**
     * Creates a store in which no endpoint is drained yet.
     *
     * @param ownThread runs callbacks of the target on the thread that calls this store
     */
    AdminDrainStore(Files files, Target target, Executor ownThread, EventLog log) {
        this.files = files;
        this.target = target;
        this.ownThread = ownThread;
        this.log = log;
    }

    /** Returns the hashes of the endpoints that this process has drained. */
    Set<String> drainedHashes() {
        return Set.copyOf(drainedIdsByHash.keySet());
    }

    /** Returns whether a call to the target is pending. */
    boolean isApplying() {
        return !applying.isEmpty();
    }

    /** Returns whether an operator's call is still unanswered. */
    boolean hasUnconfirmedCalls() {
        return !unconfirmed.isEmpty();
    }

    /**
     * Applies an operator's call.
     *
     * @param onApplied called once this process has applied the call. From then on the call is in effect here
     *     and persisting it is retried until it succeeds, whatever the operator is answered meanwhile
     * @param answer receives false if there is no such endpoint, or true once all processes have applied the
     *     call
     */
    void onAdminCall(String endpointId, boolean drained, Runnable onApplied, Consumer<Boolean> answer) {
        apply(endpointId, drained, false, exists -> {
            if (!exists) {
                answer.accept(false);
                return;
            }
            onApplied.run();
            String hash = AdminDrainFormat.endpointHash(endpointId);
            unpersistedByHash.put(hash, new UnpersistedCall(endpointId, drained));
            unconfirmed.add(new UnconfirmedCall(hash, drained, answer));
        });
    }

    private void apply(String endpointId, boolean drained, boolean knownElsewhere,
                       Consumer<Boolean> onResult) {
        String hash = AdminDrainFormat.endpointHash(endpointId);
        applying.add(hash);
        target.setDrained(endpointId, drained, knownElsewhere, exists -> ownThread.execute(() -> {
            applying.remove(hash);
            if (exists) {
                recordDrain(endpointId, hash, drained);
            }
            onResult.accept(exists);
        }));
    }

    private void recordDrain(String endpointId, String hash, boolean drained) {
        if (drained) {
            drainedIdsByHash.put(hash, endpointId);
        } else {
            drainedIdsByHash.remove(hash);
        }
    }

    /** Persists operators' calls; a call that can't be persisted is retried by the next poll. */
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

    /** Applies changes that any process has persisted and that are not applied here yet. */
    void applyPersisted() throws IOException {
        PersistedDrains persisted = files.readDrains();
        persisted.endpointIdsByHash().forEach((hash, endpointId) -> {
            if (!drainedIdsByHash.containsKey(hash) && !isNewerThanDirectory(hash)) {
                apply(endpointId, true, true, exists -> {});
            }
        });
        for (Map.Entry<String, String> drained : List.copyOf(drainedIdsByHash.entrySet())) {
            if (persisted.isNotDrained(drained.getKey()) && !isNewerThanDirectory(drained.getKey())) {
                apply(drained.getValue(), false, true, exists -> {});
            }
        }
    }

    /**
     * Returns whether a call about an endpoint is not applied or not persisted yet; the directory is older.
     */
    private boolean isNewerThanDirectory(String endpointHash) {
        return applying.contains(endpointHash) || unpersistedByHash.containsKey(endpointHash);
    }

    /** Answers calls that all processes have applied, and calls that a later call has replaced. */
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
