package spurroad.control.distribution.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import spurroad.control.distribution.DistributionSettings;
import spurroad.control.distribution.ProcessId;

/** Tests the transitions of a replica's role. */
public class RoleStateTest {
    private static final ProcessId SELF = new ProcessId(0);
    private static final ProcessId OTHER = new ProcessId(1);

    private final DistributionSettings settings = new DistributionSettings();
    private PersistentState persistent;
    private RoleState roleState;

    @BeforeMethod
    public void startAsFollower() {
        persistent = new PersistentState();
        ElectionTimer timer = new ElectionTimer(settings, SELF, List.of(SELF, OTHER), new Random(1));
        roleState = new RoleState(0, SELF, persistent, timer);
    }

    @Test
    public void becomesLeaderOnlyAfterPreVoteAndVote() {
        assertThrows(IllegalStateException.class, roleState::becomeLeader);
        assertThrows(IllegalStateException.class, roleState::becomeCandidate);
        roleState.becomePreCandidate(0);
        assertThrows(IllegalStateException.class, roleState::becomeLeader);
        assertEquals(persistent.currentTerm(), 0, "a pre-vote enters no term");
        roleState.becomeCandidate();
        assertEquals(persistent.currentTerm(), 1);
        assertEquals(persistent.votedFor(), SELF);
        roleState.becomeLeader();
        assertEquals(roleState.leader(), SELF);
        assertThrows(IllegalStateException.class, () -> roleState.becomePreCandidate(0));
    }

    @Test
    public void laterTermClearsLeaderAndVote() {
        roleState.followLeader(0, OTHER, 3);
        roleState.enterLaterTerm(0, 3);
        assertEquals(roleState.leader(), OTHER, "nothing changes in the current term");
        roleState.enterLaterTerm(0, 4);
        assertEquals(roleState.role(), Role.FOLLOWER);
        assertNull(roleState.leader());
        assertNull(persistent.votedFor());
    }

    @Test
    public void leaderContactExpiresAfterTimeoutAndRestartsElectionTimer() {
        roleState.followLeader(100, OTHER, 1);
        assertTrue(roleState.hasLeaderContactWithin(109, 10));
        assertFalse(roleState.hasLeaderContactWithin(110, 10));
        assertTrue(roleState.electionDeadlineNanos() >= 100 + settings.electionTimeoutNanos);
    }
}
