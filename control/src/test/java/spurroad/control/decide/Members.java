package spurroad.control.decide;

import java.util.SortedMap;
import java.util.TreeMap;

/** Members for tests. */
final class Members {
    private Members() {}

    static Member member(String uid, long startedMs, MemberState state) {
        return new Member(uid, "127.0.0.1:" + (1000 + uid.hashCode() % 1000), "east", "m1", 1,
            new MemberStatus(startedMs, state));
    }

    static Member active(String uid) {
        return member(uid, 0, MemberState.ACTIVE);
    }

    /** Active ones, by these uids. */
    static SortedMap<String, Member> fleet(String... uids) {
        SortedMap<String, Member> fleet = new TreeMap<>();
        for (String uid : uids) {
            fleet.put(uid, active(uid));
        }
        return fleet;
    }

    /** So many active ones. */
    static SortedMap<String, Member> fleet(int count) {
        SortedMap<String, Member> fleet = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            fleet.put("n" + i, active("n" + i));
        }
        return fleet;
    }
}
