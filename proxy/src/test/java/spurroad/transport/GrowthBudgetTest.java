package spurroad.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;

/** Guards against values that wait for each other's memory forever, and against more memory than planned. */
public class GrowthBudgetTest {
    private final Deque<Runnable> tasks = new ArrayDeque<>();

    private GrowthBudget budget(long bytes) {
        tasks.clear();
        return new GrowthBudget(bytes, tasks::add);
    }

    private void runTasks() {
        while (!tasks.isEmpty()) {
            tasks.poll().run();
        }
    }

    /** A value of 60 and a value of 50 do not fit into 100: the second may not take what the first needs. */
    @Test
    public void refusesGrowthThatCouldBlockAllValues() {
        GrowthBudget budget = budget(100);
        GrowthBudget.Reservation first = budget.open(60);
        GrowthBudget.Reservation second = budget.open(60);
        assertTrue(first.tryGrow(50));
        assertTrue(second.tryGrow(40));
        assertFalse(second.tryGrow(1), "the first could not become complete");
        assertTrue(first.tryGrow(10));
        assertEquals(budget.freeBytes(), 0);
    }

    @Test
    public void grantsWaitingGrowthOnceMemoryIsReleased() {
        GrowthBudget budget = budget(100);
        GrowthBudget.Reservation first = budget.open(100);
        GrowthBudget.Reservation second = budget.open(100);
        List<String> grown = new ArrayList<>();
        assertTrue(first.tryGrow(100));
        first.complete();
        assertFalse(second.tryGrow(40));
        second.growLater(40, () -> grown.add("second"));
        first.releasePart(30);
        runTasks();
        assertEquals(grown, List.of());
        first.releasePart(30);
        runTasks();
        assertEquals(grown, List.of("second"));
        assertEquals(second.heldBytes(), 40);
        first.release();
        first.release();
        second.release();
        assertEquals(budget.freeBytes(), 100);
    }

    @Test
    public void forgetsWaitingReservationThatIsReleased() {
        GrowthBudget budget = budget(100);
        GrowthBudget.Reservation first = budget.open(100);
        GrowthBudget.Reservation second = budget.open(100);
        GrowthBudget.Reservation third = budget.open(100);
        List<String> grown = new ArrayList<>();
        assertTrue(first.tryGrow(100));
        second.growLater(10, () -> {
            grown.add("second");
            third.release(); // as a connection that another one closes
        });
        third.growLater(10, () -> grown.add("third"));
        first.release();
        runTasks();
        assertEquals(grown, List.of("second"));
        assertEquals(budget.freeBytes(), 90);
    }

    /** Values of random lengths that grow in random steps all become complete, in whatever order. */
    @Test
    public void completesAllValuesWithinBudget() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            int bytes = 100 + random.nextInt(100);
            GrowthBudget budget = budget(bytes);
            List<GrowingValue> values = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                int max = 1 + random.nextInt(100);
                values.add(new GrowingValue(budget.open(max), 1 + random.nextInt(max), random));
            }
            for (int round = 0; round < 10_000 && !values.isEmpty(); round++) {
                values.get(random.nextInt(values.size())).step();
                runTasks();
                assertTrue(budget.freeBytes() >= 0, "seed " + seed);
                values.removeIf(GrowingValue::isDone);
            }
            assertEquals(values.size(), 0, "values that never become complete, seed " + seed);
            assertEquals(budget.freeBytes(), bytes, "seed " + seed);
        }
    }

    private static final class GrowingValue {
        private final GrowthBudget.Reservation reservation;
        private final int length;
        private final Random random;
        private boolean waits;
        private boolean done;

        private GrowingValue(GrowthBudget.Reservation reservation, int length, Random random) {
            this.reservation = reservation;
            this.length = length;
            this.random = random;
        }

        private boolean isDone() {
            return done;
        }

        private void step() {
            if (waits) {
                return;
            }
            int remaining = length - (int) reservation.heldBytes();
            if (remaining == 0) {
                reservation.complete();
                reservation.release();
                done = true;
                return;
            }
            int growth = 1 + random.nextInt(remaining);
            if (!reservation.tryGrow(growth)) {
                waits = true;
                reservation.growLater(growth, () -> waits = false);
            }
        }
    }

    /** Guards against values that wait for others holding all memory that those need: both would time out. */
    @Test
    public void keepsHalfForUrgentReservations() {
        GrowthBudget budget = budget(100);
        AtomicBoolean urgent = new AtomicBoolean();
        List<String> grown = new ArrayList<>();
        GrowthBudget.Reservation first = budget.open(40, urgent::get);
        GrowthBudget.Reservation second = budget.open(20, urgent::get);
        GrowthBudget.Reservation third = budget.open(20, urgent::get);
        assertTrue(first.tryGrow(40));
        assertTrue(second.tryGrow(20));
        assertFalse(third.tryGrow(20), "only the half for urgent ones is left");
        third.growLater(20, () -> grown.add("third"));
        second.release();
        runTasks();
        assertEquals(grown, List.of("third"));
        GrowthBudget.Reservation fourth = budget.open(30, urgent::get);
        assertFalse(fourth.tryGrow(30));
        urgent.set(true);
        assertTrue(fourth.tryGrow(30));
    }

    /** Guards against a budget that keeps its size while endpoints take more of the heap. */
    @Test
    public void grantsNothingWhileReducedBudgetIsExceeded() {
        GrowthBudget budget = budget(100);
        GrowthBudget.Reservation first = budget.open(50);
        GrowthBudget.Reservation second = budget.open(50);
        assertTrue(first.tryGrow(50));
        assertTrue(second.tryGrow(20));
        budget.resize(60);
        assertFalse(second.tryGrow(1));
        first.complete();
        first.release();
        assertTrue(second.tryGrow(30));
        budget.resize(100);
        assertEquals(budget.freeBytes(), 50);
    }
}
