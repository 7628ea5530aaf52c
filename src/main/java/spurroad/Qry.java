package spurroad;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import spurroad.model.CacheKey;
import spurroad.model.QueryId;
import spurroad.model.Track;

/** One query that a proxy has taken on. */
final class Qry {
    QueryId id;
    Track track;
    CacheKey key;
    long order, point, sloAt, endAt;
    double luck;
    boolean beyondShare, write, missed, served, done;
    final List<Exec> execs = new ArrayList<>(2);
    int out, holds;
    Exec mayHaveRun;
    Hold hold = Hold.NONE;
    List<Node> candidates = List.of();
    final Set<Node> asked = new LinkedHashSet<>(4);
    final List<Node> avoid = new ArrayList<>(2);
    Node target;
}
