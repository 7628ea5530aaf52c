package spurroad.control.decide;

import java.util.Optional;

/**
 * One kind of resource on one proxy's stream, as the state of the world variant of xDS has it: what was sent
 * and is not answered yet, what was accepted, what was refused. At most one answer is out at a time; what
 * comes meanwhile takes the place of what waits, so a proxy that reads slowly is sent the newest state and
 * not all that were between. A version that was refused is not sent again until another one is there.
 *
 * <p>Source: "xDS REST and gRPC protocol", ACK/NACK and resource type instance version. Not for several
 * threads.
 */
public final class Subscription {
    private String newest = "";
    private String out = "";
    private String outNonce = "";
    private String accepted = "";
    private String refused = "";
    private long nonces;
    private boolean asked;
    private boolean again;

    /** What is to be sent now: a version, and the nonce that its answer will bear. */
    public record Send(String version, String nonce) {}

    /** There is a newer version to be had. */
    public Optional<Send> newer(String version) {
        newest = version;
        return next();
    }

    /**
     * The proxy asks.
     *
     * @param version that it has accepted last; empty where it has none
     * @param nonce of the answer that this is about; empty in the first request of a stream
     * @param error why it refused that answer; null where it did not
     * @param changed whether it asks for other resources than before
     */
    public Optional<Send> request(String version, String nonce, String error, boolean changed) {
        if (!asked) {
            asked = true;
            accepted = version; // resumed: what it has already is not sent again
            again = changed && version.isEmpty();
            return next();
        }
        if (!nonce.equals(outNonce)) {
            return Optional.empty(); // about an answer that a later one has overtaken
        }
        if (!out.isEmpty() && error != null) {
            refused = out;
        } else if (!out.isEmpty()) {
            accepted = out;
        }
        out = "";
        again |= changed;
        return next();
    }

    private Optional<Send> next() {
        boolean wanted = !newest.isEmpty() && (again || !newest.equals(accepted)) && !newest.equals(refused);
        if (!asked || !out.isEmpty() || !wanted) {
            return Optional.empty();
        }
        again = false;
        out = newest;
        outNonce = Long.toString(++nonces);
        return Optional.of(new Send(out, outNonce));
    }

    /** The version that the proxy has accepted last; empty for none. */
    public String accepted() {
        return accepted;
    }

    /** The version that it has refused last; empty for none. */
    public String refused() {
        return refused;
    }

    /** Whether it has what is newest. */
    public boolean isCurrent() {
        return accepted.equals(newest);
    }
}
