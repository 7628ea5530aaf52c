package spurroad.transport;

import java.util.concurrent.Semaphore;

/** The bytes that all queries under way may hold at once. Whoever takes some gives them back once. */
public final class Room {
    private static final int UNIT = 1024; // bytes; counted in these
    private final Semaphore free;

    public Room(long bytes) {
        free = new Semaphore((int) Math.min(Integer.MAX_VALUE, bytes / UNIT));
    }

    /** Takes room for that many bytes if there is enough. */
    public boolean take(long bytes) {
        return free.tryAcquire(units(bytes));
    }

    public void give(long bytes) {
        free.release(units(bytes));
    }

    private static int units(long bytes) {
        return (int) ((bytes + UNIT - 1) / UNIT);
    }
}
