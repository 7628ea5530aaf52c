package spurroad.transport;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class ActorTest {
    private final EventLog log = new EventLog();

    @Test
    public void messagesRunInOrderOneAtATimeAlsoAfterOneThatFails() throws InterruptedException {
        Actor actor = new Actor(new Threads(log), log, 1000) { };
        List<Integer> seen = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        for (int i = 0; i < 500; i++) {
            int n = i;
            actor.tell(() -> seen.add(n));
            if (n == 100) {
                actor.tell(() -> {
                    throw new IllegalStateException("on purpose");
                });
            }
        }
        actor.tell(done::countDown);
        done.await();
        assertEquals(seen, IntStream.range(0, 500).boxed().toList());
    }

    @Test
    public void whatMayWaitHoldsUpNoMessageAndRunsHereWhereItMay() throws InterruptedException {
        Thread[] at = new Thread[1];
        CountDownLatch waiting = new CountDownLatch(1), done = new CountDownLatch(2);
        Actor actor = new Actor(new Threads(log), log, 1000) {
            {
                tellHere(() -> afterwards(() -> at[0] = Thread.currentThread()), true);
                assertEquals(at[0], Thread.currentThread());
                tell(() -> afterwards(() -> {
                    try {
                        waiting.await();
                        put(done::countDown);
                    } catch (InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                }));
                tell(waiting::countDown);
                tell(done::countDown);
            }
        };
        done.await();
        actor.tell(done::countDown); // a mailbox that was let go of takes more
    }

    @Test
    public void aSleeperThatWakesLateWasHeldUp() {
        Stalls stalls = new Stalls();
        for (long ms : new long[] {5, 6, 55, 7, 105}) {
            stalls.woke(ms * 1_000_000);
        }
        assertEquals(stalls.total(), 150_000_000);
    }

    @Test
    public void roomAndPlacesRunOutAndComeBack() throws InterruptedException {
        Room room = new Room(10_000);
        assertEquals(List.of(room.take(8_000), room.take(8_000)), List.of(true, false));
        room.give(8_000);
        assertEquals(room.take(8_000), true);
        room.owe(20_000);
        assertEquals(List.of(room.overdrawn(), room.take(1)), List.of(true, false));
        room.give(20_000);
        assertEquals(List.of(room.overdrawn(), room.take(1)), List.of(false, true));
    }

    @Test
    public void neitherSideCanTakeAllPlaces() throws InterruptedException {
        Descriptors d = new Descriptors(2 + 8 + 6);
        for (int i = 0; i < 5; i++) {
            assertEquals(d.takeForNode(), i < 3, "half of six");
        }
        for (int i = 0; i < 5; i++) {
            assertEquals(d.takeForClient(0), i < 3, "what is left");
        }
        d.giveFromNode();
        assertEquals(List.of(d.takeForClient(0), d.takeForClient(0), d.takeForNode()), List.of(true, false, false));
        for (int i = 0; i < 4; i++) {
            d.giveFromClient();
        }
        d.giveFromNode();
        d.giveFromNode();
        for (int i = 0; i < 5; i++) {
            assertEquals(d.takeForClient(0), i < 4, "two thirds of six");
        }
        assertEquals(List.of(d.takeForNode(), d.takeForNode(), d.takeForNode()), List.of(true, true, false));
    }
}
