package spurroad.transport;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;

/**
 * Limits the memory of values that grow while they are received. Each value has a reservation with a known
 * maximum. A reservation grows only if afterwards all of them can still reach their maxima, in some order and
 * each with what those before it have released; so they never wait for each other in a cycle (the banker's
 * algorithm of Dijkstra, EWD 623).
 *
 * <p>A part of the budget is kept for urgent reservations: those whose value can be passed on as soon as it
 * is complete, which releases its memory.
 *
 * <p>Used on the event loop only.
 */
public final class GrowthBudget {
    /** Memory held for one value. */
    public final class Reservation {
        private final BooleanSupplier urgency;
        private long maxBytes;
        private long heldBytes;

        private Reservation(long maxBytes, BooleanSupplier urgency) {
            this.maxBytes = maxBytes;
            this.urgency = urgency;
        }

        /**
         * Reserves more bytes if the budget allows it now. Together with what is held they must not exceed
         * the maximum. Returns whether they are reserved.
         */
        public boolean tryGrow(long bytes) {
            if (bytes > freeBytes || !mayGrow()) {
                return false;
            }
            hold(bytes);
            boolean safe = isSafe();
            if (!safe) {
                hold(-bytes);
            }
            return safe;
        }

        /** Reserves more bytes as soon as the budget allows it, and then runs a task. */
        public void growLater(long bytes, Runnable onGrown) {
            waiting.put(this, new Growth(bytes, onGrown));
        }

        /** Returns how many bytes are held. */
        public long heldBytes() {
            return heldBytes;
        }

        /** Notes that the reservation will not grow any more, even if it waits for that. */
        public void complete() {
            waiting.remove(this);
            unheldBytes -= remaining();
            maxBytes = heldBytes;
            scheduleGrowth();
        }

        /** Releases a part of what is held for a complete value. */
        public void releasePart(long bytes) {
            hold(-bytes);
            unheldBytes -= bytes;
            maxBytes -= bytes;
            scheduleGrowth();
        }

        /** Releases all that is held, and no longer waits for more; does nothing the second time. */
        public void release() {
            if (reservations.remove(this)) {
                waiting.remove(this);
                complete();
                releasePart(heldBytes);
            }
        }

        private void hold(long bytes) {
            heldBytes += bytes;
            freeBytes -= bytes;
            unheldBytes -= bytes;
        }

        private boolean mayGrow() {
            return freeBytes > urgentBytes || urgency.getAsBoolean();
        }

        private long remaining() {
            return maxBytes - heldBytes;
        }
    }

    private record Growth(long bytes, Runnable onGrown) {}

    /** Waiting reservations that are refused in one pass before it ends, which bounds its duration. */
    private static final int MAX_REFUSALS_PER_PASS = 8;
    /** Divisor of the budget: the quotient is kept for urgent reservations. */
    private static final int URGENT_DIVISOR = 2;

    private final Executor executor;
    private final Set<Reservation> reservations = new LinkedHashSet<>();
    private final Map<Reservation, Growth> waiting = new LinkedHashMap<>(); // the longest waiting first
    private long totalBytes;
    private long urgentBytes; // what is kept for urgent reservations
    private long freeBytes; // negative if more is held than a reduced budget has
    private long unheldBytes; // what all reservations together may still ask for
    private boolean growthScheduled;

    /**
     * Creates a budget of a number of bytes, which must not be less than the maximum of any reservation.
     *
     * @param executor runs tasks on the event loop, after the current one
     */
    public GrowthBudget(long bytes, Executor executor) {
        this.executor = executor;
        totalBytes = bytes;
        freeBytes = bytes;
        urgentBytes = bytes / URGENT_DIVISOR;
    }

    /**
     * Changes the number of bytes, which must not be less than the maximum of any reservation. If more are
     * held, nothing grows until enough are released.
     */
    public void resize(long bytes) {
        freeBytes += bytes - totalBytes;
        totalBytes = bytes;
        urgentBytes = bytes / URGENT_DIVISOR;
        scheduleGrowth();
    }

    /** Opens an empty urgent reservation that will grow to the given number of bytes at most. */
    public Reservation open(long maxBytes) {
        return open(maxBytes, () -> true);
    }

    /** Does the same for a reservation that is urgent only while a condition holds. */
    public Reservation open(long maxBytes, BooleanSupplier urgency) {
        Reservation opened = new Reservation(maxBytes, urgency);
        reservations.add(opened);
        unheldBytes += maxBytes;
        return opened;
    }

    /** Returns the fraction of the budget that is held; over 1 if the budget was reduced meanwhile. */
    public double usedFraction() {
        return 1 - (double) freeBytes / Math.max(1, totalBytes);
    }

    /** Returns how many bytes are not held. */
    public long freeBytes() {
        return freeBytes;
    }

    /** Returns whether all reservations can reach their maxima one after another. */
    private boolean isSafe() {
        if (unheldBytes <= freeBytes) {
            return true;
        }
        List<Reservation> byNeed = new ArrayList<>(reservations);
        byNeed.sort(Comparator.comparingLong(Reservation::remaining));
        long available = freeBytes;
        for (Reservation next : byNeed) {
            if (next.remaining() > available) {
                return false;
            }
            available += next.heldBytes;
        }
        return true;
    }

    private void scheduleGrowth() {
        if (!waiting.isEmpty() && !growthScheduled) {
            growthScheduled = true;
            executor.execute(this::growWaiting);
        }
    }

    /**
     * Lets waiting reservations grow, the longest waiting first. If too many are refused, the one that needs
     * the least follows: in a safe state one of those that are not complete can always grow, and that is it.
     */
    private void growWaiting() {
        growthScheduled = false;
        int refusals = 0;
        for (Reservation next : List.copyOf(waiting.keySet())) {
            if (!next.mayGrow()) {
                continue;
            }
            refusals += growIfWaiting(next) ? 0 : 1;
            if (refusals == MAX_REFUSALS_PER_PASS) {
                waiting.keySet().stream().min(Comparator.comparingLong(Reservation::remaining))
                    .ifPresent(this::growIfWaiting);
                return;
            }
        }
    }

    /** Returns false if the growth is refused; a reservation that no longer waits is not refused. */
    private boolean growIfWaiting(Reservation reservation) {
        Growth growth = waiting.get(reservation);
        if (growth == null) {
            return true; // a task that ran before has released it
        }
        boolean grown = reservation.tryGrow(growth.bytes);
        if (grown) {
            waiting.remove(reservation);
            growth.onGrown.run();
        }
        return grown;
    }
}
