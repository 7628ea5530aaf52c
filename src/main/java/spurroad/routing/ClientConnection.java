package spurroad.routing;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import spurroad.protocol.ByteSource;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.MetaReply;
import spurroad.transport.Actor;
import spurroad.transport.Connection;

/**
 * One connection of a client. Its reader thread reads commands for as long as it lasts, closes the socket for good and
 * gives its place back; the actor keeps the answers in order and has them written by a thread that may wait for a
 * slow client. A guest, for whom there was no place, is turned away and let go.
 */
final class ClientConnection extends Actor implements Runnable {
    private static final int MOST_WAITING = 16; // commands; read ahead of their answers
    private static final int MAILBOX = 8 * MOST_WAITING; // messages; some for each command
    private static final int CLOSED = Integer.MIN_VALUE / 2; // far below zero, whatever is still counted down
    private static final long SLOW_NS = 10_000_000_000L; // ns; a client that takes nothing so long is gone
    private static final long REST_NS = 50_000_000L; // ns; a client that goes on at once has done so by then
    private static final long FRESH_NS = 250_000_000L; // ns; who opens a connection for a query sends it sooner
    private static final long HOLDING_NS = 1_000_000_000L; // ns; for guests, and for answers where memory is short
    private static final long IDLE_NS = 2_000_000_000L; // ns; so long without a whole command: owed a word or a close
    private static final long CROWDED_NS = 300_000_000L; // ns; the same after an answer where many are connected
    private static final long FAULT_REST_MS = 100; // ms; who sends nonsense again at once costs others nothing
    private static final int LAST_BYTES = 256 * 1024; // bytes; read on after a last answer, so that it arrives

    /** The place of one command's answer in the order of answers. */
    private static final class Slot {
        private Query query;
        private long queryRoom, answerRoom;
        private byte[] answer;
        private boolean last;
    }

    private final Clients clients;
    private final Connection connection;
    private final boolean guest;
    private final Semaphore ahead = new Semaphore(MOST_WAITING);
    // commands begun and not yet answered whole; below zero once closed between two of them
    private final AtomicInteger open = new AtomicInteger();
    volatile long idleSince;
    private volatile boolean answered;
    private volatile long begunAt = Long.MAX_VALUE, writingSince = Long.MAX_VALUE;
    // the actor's
    private final Deque<Slot> slots = new ArrayDeque<>();
    private boolean writing, closed;

    ClientConnection(Clients clients, Connection connection, boolean guest) {
        super(clients.threads, clients.log, MAILBOX);
        this.clients = clients;
        this.connection = connection;
        this.guest = guest;
        idleSince = clients.clock.now();
    }

    @Override
    public String toString() {
        return "client " + connection;
    }

    // ---- the reader thread

    @Override
    public void run() {
        try {
            ByteSource in = new ByteSource(connection.in());
            boolean more = true;
            while (more && in.await() && open.getAndUpdate(n -> n < 0 ? n : n + 1) >= 0) {
                begunAt = clients.clock.now();
                MetaCommand command = MetaCommand.read(in);
                long at = clients.clock.now();
                begunAt = Long.MAX_VALUE;
                ahead.acquire();
                String fault = fault(command);
                tellHere(() -> taken(command, fault, at), true);
                more = !command.lost;
                if (more && fault != null) {
                    Thread.sleep(FAULT_REST_MS);
                }
            }
            for (int dropped = 0; !more && dropped < LAST_BYTES && in.await(); ) {
                dropped += in.drop(); // a close upon unread bytes would overtake the answer
            }
        } catch (IOException | InterruptedException e) {
            // a client that goes breaks its connection; told below
        } finally {
            tellHere(this::left, true);
            connection.end();
            clients.ended(this);
        }
    }

    /** What is wrong with a command, or null; what no node is to see ends here. */
    private String fault(MetaCommand command) {
        return switch (command.kind) {
            case FAULT -> command.fault;
            case READY -> null;
            default -> clients.refusal(command);
        };
    }

    // ---- the actor

    private void taken(MetaCommand command, String fault, long at) {
        if (closed) {
            return;
        }
        Slot slot = new Slot();
        slots.add(slot);
        if (fault != null) {
            unusable(slot, fault);
            slot.last = command.lost;
        } else if (command.kind == MetaCommand.Kind.READY) {
            slot.answer = MetaReply.ready();
        } else {
            query(slot, command, at);
        }
        flush();
    }

    private void unusable(Slot slot, String fault) {
        log.trouble("a client's command can't be used", this + ", " + fault);
        slot.answer = MetaReply.text(fault);
    }

    private void query(Slot slot, MetaCommand command, long at) {
        Query query = new Query(this, command, clients.track(command), clients.customer(command), at);
        if (guest) {
            slot.answer = clients.busy;
        } else if (clients.open.putIfAbsent(command.id, query) != null) {
            unusable(slot, "CLIENT_ERROR request id in use");
        } else if (!clients.room.take(Clients.QUERY_BYTES + command.value.length)) {
            log.trouble("no room for a query", this);
            clients.open.remove(command.id, query);
            slot.answer = clients.busy;
        } else {
            slot.queryRoom = Clients.QUERY_BYTES + command.value.length;
            slot.query = query;
            clients.decider.arrived(slot.query);
        }
    }

    /** Told by the decider: the one final answer of a query. */
    void answer(Query q, byte[] answer) {
        tell(() -> {
            for (Slot slot : slots) {
                if (slot.query == q) {
                    slot.answer = answer;
                    slot.answerRoom = answer.length;
                    clients.owe(answer.length);
                }
            }
            flush();
        });
    }

    private void flush() {
        List<Slot> ready = new ArrayList<>(2);
        while (!writing && !closed && !slots.isEmpty() && slots.peek().answer != null) {
            over(slots.peek());
            ready.add(slots.poll());
        }
        if (!ready.isEmpty()) {
            writing = true;
            writingSince = clients.clock.now();
            boolean goes = (guest || clients.ending()) && slots.isEmpty();
            afterwards(() -> write(ready, goes));
        }
    }

    /** On a thread that may wait; a client that can't be written to has its reader end, too. */
    private void write(List<Slot> ready, boolean goes) {
        try {
            for (Slot slot : ready) {
                connection.write(slot.answer);
            }
            // at once: the client takes the connection for its next query as soon as it has the answer
            if (goes && endsAfter(ready.size())) {
                connection.close();
            }
        } catch (IOException e) {
            connection.close();
        }
        put(() -> written(ready));
    }

    private void written(List<Slot> ready) {
        writing = false;
        writingSince = Long.MAX_VALUE;
        ready.forEach(this::giveRoom);
        ahead.release(ready.size());
        idleSince = clients.clock.now();
        answered = true;
        open.addAndGet(-ready.size());
        if (ready.get(ready.size() - 1).last) {
            connection.endOutput();
            threads.after(HOLDING_NS, connection::close);
        }
        flush();
    }

    private void giveRoom(Slot slot) {
        clients.room.give(slot.queryRoom);
        clients.room.give(slot.answerRoom);
        slot.queryRoom = slot.answerRoom = 0;
    }

    /** From before its answer goes out the id may come again. */
    private void over(Slot slot) {
        if (slot.query != null) {
            clients.open.remove(slot.query.command.id, slot.query);
        }
    }

    private void left() {
        for (Slot slot : slots) {
            if (slot.query != null && slot.answer == null) {
                clients.decider.left(slot.query);
            }
        }
        close();
    }

    private void close() {
        closed = true;
        slots.forEach(this::giveRoom);
        slots.forEach(this::over);
        slots.clear();
        connection.close();
        ahead.release(MOST_WAITING);
    }

    /** Whether it stands between two commands; one that was just opened brings its first, which is not sent again. */
    boolean idle() {
        return open.get() == 0 && clients.clock.now() - idleSince > (answered ? REST_NS : FRESH_NS);
    }

    /**
     * Closes it between two commands, from any thread; one that the reader has begun keeps it open. By a reset: where
     * the process was held up just then, the reader may hold a command that it can't answer, which the client has to
     * send again; an ordered end would tell it that the command was taken (lost in the first incident).
     */
    void closeIfIdle() {
        if (idle() && endsAfter(0)) {
            connection.reset();
        }
    }

    /** Lets the reader begin nothing more, unless more has come than the commands that have had their answers. */
    private boolean endsAfter(int answers) {
        return !connection.unread() && open.compareAndSet(answers, CLOSED);
    }

    /** Closes it where the client takes its answers too slowly for the memory that they hold. */
    void closeIfSlow() {
        if (clients.clock.now() - HOLDING_NS > writingSince) {
            connection.close();
        }
    }

    /** Closes it where the rest of a command has not come for long: that was never taken. */
    void closeIfStuck() {
        if (clients.clock.now() - (guest ? HOLDING_NS : IDLE_NS) > begunAt) {
            connection.close();
        }
    }

    /** To be called now and then: closes it if it takes no answers, sends half a command, or says nothing. */
    void tidy(boolean crowded) {
        long now = clients.clock.now();
        closeIfStuck();
        if (now - SLOW_NS > writingSince) {
            connection.close();
        } else if (now - idleSince > (crowded ? crowdedNs() : quietNs())) {
            closeIfIdle();
        }
    }

    private long crowdedNs() {
        return answered ? CROWDED_NS : HOLDING_NS;
    }

    private long quietNs() {
        return answered ? SLOW_NS : IDLE_NS;
    }
}
