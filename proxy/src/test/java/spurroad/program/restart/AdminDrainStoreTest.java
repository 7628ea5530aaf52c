package spurroad.program.restart;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import spurroad.transport.EventLog;

/** Tests the drains of one process with in-memory files and a target whose answers the test controls. */
public class AdminDrainStoreTest {
    private static final String ID = "s-1";
    private static final String HASH = AdminDrainFormat.endpointHash(ID);
    private static final String UNKNOWN_ID = "unknown";
    private static final List<LiveProcess> NO_OTHERS = List.of();

    private InMemoryFiles files;
    private Queue<Runnable> targetAnswers;
    private List<String> targetCalls;
    private List<Boolean> operatorAnswers;
    private List<String> applied; // endpoints of calls that this process has applied
    private AdminDrainStore store;

    private static final class InMemoryFiles implements AdminDrainStore.Files {
        private final Map<String, String> endpointIdsByHash = new HashMap<>();
        private final Set<String> unreadableHashes = new HashSet<>();
        private boolean failing;

        @Override
        public PersistedDrains readDrains() throws IOException {
            throwIfFailing();
            return new PersistedDrains(Map.copyOf(endpointIdsByHash), Set.copyOf(unreadableHashes));
        }

        @Override
        public void writeDrain(String endpointId, boolean drained) throws IOException {
            throwIfFailing();
            if (drained) {
                endpointIdsByHash.put(AdminDrainFormat.endpointHash(endpointId), endpointId);
            } else {
                endpointIdsByHash.remove(AdminDrainFormat.endpointHash(endpointId));
            }
        }

        private void throwIfFailing() throws IOException {
            if (failing) {
                throw new IOException("no space left on device");
            }
        }
    }

    @BeforeMethod
    void createStore() {
        files = new InMemoryFiles();
        targetAnswers = new ArrayDeque<>();
        targetCalls = new ArrayList<>();
        operatorAnswers = new ArrayList<>();
        applied = new ArrayList<>();
        store = new AdminDrainStore(files, (id, drained, knownElsewhere, known) -> {
            targetCalls
                .add(id + (drained ? " drained" : " used") + (knownElsewhere ? " knownElsewhere" : ""));
            targetAnswers.add(() -> known.accept(knownElsewhere || !id.equals(UNKNOWN_ID)));
        }, Runnable::run, new EventLog());
    }

    private void call(String endpointId, boolean drained) {
        store.onAdminCall(endpointId, drained, () -> applied.add(endpointId), operatorAnswers::add);
    }

    private void answerFromTarget() {
        while (!targetAnswers.isEmpty()) {
            targetAnswers.remove().run();
        }
    }

    /** Calls the store as a poll of the directory does. */
    private void poll(List<LiveProcess> others) throws IOException {
        store.persistCalls();
        store.applyPersisted();
        store.answerConfirmedCalls(others);
    }

    private void drainAndPersist() throws IOException {
        call(ID, true);
        answerFromTarget();
        poll(NO_OTHERS);
        operatorAnswers.clear();
        targetCalls.clear();
    }

    private static List<LiveProcess> serving(String... drainedHashes) {
        return List.of(new LiveProcess(7, Optional.of(new ProcessState(1, 2, false, 30,
            Set.of(drainedHashes)))));
    }

    // ---- calls of operators

    @Test
    public void answersFalseForUnknownEndpointAndDoesNotPersistCall() throws IOException {
        call(UNKNOWN_ID, true);
        answerFromTarget();
        assertEquals(operatorAnswers, List.of(false));
        poll(NO_OTHERS);
        assertEquals(files.endpointIdsByHash, Map.of());
        assertEquals(store.drainedHashes(), Set.of());
    }

    @Test
    public void persistsCallAndAnswersTrue() throws IOException {
        call(ID, true);
        assertTrue(store.isApplying());
        answerFromTarget();
        assertFalse(store.isApplying());
        assertTrue(store.hasUnconfirmedCalls());
        poll(NO_OTHERS);
        assertEquals(operatorAnswers, List.of(true));
        assertEquals(files.endpointIdsByHash, Map.of(HASH, ID));
        assertEquals(store.drainedHashes(), Set.of(HASH));
        assertFalse(store.hasUnconfirmedCalls());
    }

    /**
     * A call that can't be persisted is applied nevertheless, and the store reports that, so that the
     * operator can be told. Otherwise a call with a full directory gets a 503 that does not mention the
     * drained node.
     */
    @Test
    public void reportsCallAsAppliedThoughItIsNotPersistedYet() throws IOException {
        files.failing = true;
        call(ID, true);
        assertEquals(applied, List.of());
        answerFromTarget();
        assertEquals(applied, List.of(ID));
        store.persistCalls();
        assertThrows(IOException.class, store::applyPersisted);
        assertEquals(operatorAnswers, List.of());
        assertEquals(store.drainedHashes(), Set.of(HASH), "applied in this process");
        call(UNKNOWN_ID, true);
        answerFromTarget();
        assertEquals(applied, List.of(ID), "no such endpoint, nothing applied");
    }

    /** Whether the process that drained the endpoint polls first once the directory is writable again. */
    @DataProvider
    Object[][] persistOrders() {
        return new Object[][] {{true}, {false}};
    }

    /** Two processes that got opposite calls while the directory was not writable agree once it is. */
    @Test(dataProvider = "persistOrders")
    public void processesWithOppositeCallsConverge(boolean drainedFirst) throws IOException {
        AdminDrainStore other = new AdminDrainStore(files,
            (id, drained, knownElsewhere, known) -> known.accept(true), Runnable::run, new EventLog());
        files.failing = true;
        call(ID, true);
        answerFromTarget();
        other.onAdminCall(ID, false, () -> {}, known -> {});
        store.persistCalls();
        other.persistCalls();
        files.failing = false;
        List<AdminDrainStore> inOrder = drainedFirst ? List.of(store, other) : List.of(other, store);
        for (int polls = 0; polls < 2; polls++) {
            for (AdminDrainStore each : inOrder) {
                each.persistCalls();
                each.applyPersisted();
                answerFromTarget();
            }
        }
        assertEquals(store.drainedHashes(), other.drainedHashes());
        assertEquals(store.drainedHashes(), files.endpointIdsByHash.keySet());
    }

    @Test
    public void deletesDrainFileWhenCallEndsDrain() throws IOException {
        drainAndPersist();
        call(ID, false);
        answerFromTarget();
        poll(NO_OTHERS);
        assertEquals(operatorAnswers, List.of(true));
        assertEquals(files.endpointIdsByHash, Map.of());
        assertEquals(store.drainedHashes(), Set.of());
    }

    @Test
    public void answersCallOnceEveryServingProcessHasAppliedIt() throws IOException {
        call(ID, true);
        answerFromTarget();
        poll(serving());
        assertEquals(operatorAnswers, List.of());
        poll(serving(HASH));
        assertEquals(operatorAnswers, List.of(true));
    }

    @Test
    public void doesNotWaitForStartingProcessesOrThoseWithoutReadableState() throws IOException {
        ProcessState starting = new ProcessState(1, ProcessState.NOT_SERVING_YET, false, 30, Set.of());
        call(ID, true);
        answerFromTarget();
        poll(List.of(new LiveProcess(7, Optional.of(starting)), new LiveProcess(8, Optional.empty())));
        assertEquals(operatorAnswers, List.of(true));
    }

    @Test
    public void answersCallThatLaterCallForSameEndpointReplaces() throws IOException {
        call(ID, true);
        answerFromTarget();
        poll(serving());
        call(ID, false);
        answerFromTarget();
        poll(serving(HASH));
        assertEquals(operatorAnswers, List.of(true), "the earlier call");
        assertTrue(store.hasUnconfirmedCalls());
        poll(serving());
        assertEquals(operatorAnswers, List.of(true, true));
    }

    // ---- files that can't be written or read

    @Test
    public void appliesCallAtOnceButAnswersOnlyOncePersisted() throws IOException {
        files.failing = true;
        call(ID, true);
        answerFromTarget();
        store.persistCalls();
        store.answerConfirmedCalls(NO_OTHERS);
        assertEquals(store.drainedHashes(), Set.of(HASH));
        assertEquals(operatorAnswers, List.of());
        files.failing = false;
        poll(NO_OTHERS);
        assertEquals(operatorAnswers, List.of(true));
    }

    @Test
    public void unpersistedCallTakesPrecedenceOverDirectory() throws IOException {
        drainAndPersist();
        call(ID, false);
        answerFromTarget();
        targetCalls.clear();
        files.failing = true;
        store.persistCalls();
        files.failing = false;
        store.applyPersisted();
        assertEquals(targetCalls, List.of(), "drained again by the file that is still there");
    }

    @Test
    public void unappliedCallTakesPrecedenceOverDirectory() throws IOException {
        drainAndPersist();
        call(ID, false);
        files.endpointIdsByHash.clear();
        targetCalls.clear();
        store.applyPersisted();
        assertEquals(targetCalls, List.of());
    }

    @Test
    public void unreadableDirectoryChangesNoDrain() throws IOException {
        drainAndPersist();
        files.failing = true;
        assertThrows(IOException.class, store::applyPersisted);
        assertEquals(targetCalls, List.of());
        assertEquals(store.drainedHashes(), Set.of(HASH));
    }

    @Test
    public void unreadableFileNeitherStartsNorEndsDrain() throws IOException {
        drainAndPersist();
        files.endpointIdsByHash.clear();
        files.unreadableHashes.addAll(Set.of(HASH, AdminDrainFormat.endpointHash("s-2")));
        store.applyPersisted();
        assertEquals(targetCalls, List.of());
    }

    // ---- what other processes persisted

    @Test
    public void appliesDrainOfOtherProcessForEndpointUnknownHere() throws IOException {
        files.writeDrain(UNKNOWN_ID, true);
        store.applyPersisted();
        answerFromTarget();
        assertEquals(targetCalls, List.of("unknown drained knownElsewhere"));
        assertEquals(store.drainedHashes(), Set.of(AdminDrainFormat.endpointHash(UNKNOWN_ID)));
    }

    @Test
    public void endsDrainThatOtherProcessEnded() throws IOException {
        drainAndPersist();
        files.endpointIdsByHash.clear();
        store.applyPersisted();
        answerFromTarget();
        assertEquals(targetCalls, List.of("s-1 used knownElsewhere"));
        assertEquals(store.drainedHashes(), Set.of());
    }

    @Test
    public void appliesPersistedDrainOnce() throws IOException {
        files.writeDrain(ID, true);
        store.applyPersisted();
        store.applyPersisted();
        answerFromTarget();
        store.applyPersisted();
        assertEquals(targetCalls, List.of("s-1 drained knownElsewhere"));
    }
}
