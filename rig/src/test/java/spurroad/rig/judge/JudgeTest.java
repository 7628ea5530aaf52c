package spurroad.rig.judge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import spurroad.model.Effect;
import spurroad.rig.Worlds;
import spurroad.rig.model.Answer;
import spurroad.rig.model.Ask;
import spurroad.rig.model.Population;
import spurroad.rig.model.Reply;
import spurroad.rig.model.Request;
import spurroad.rig.model.Try;
import spurroad.rig.scenario.Scenario;
import spurroad.rig.time.SimulatedTimeline;

/** The judge alone, told of single queries. */
public class JudgeTest {
    private static final long MS = 1_000_000L, S = 1000 * MS;
    private static final Reply DONE = new Reply(Reply.Kind.RECEIPT, 1, 0, 0, 0);
    private static final Reply BUSY = new Reply(Reply.Kind.BUSY, 0, 0, 0, 0);

    private final Scenario scenario = Worlds.small("2s", "[rules]\nunanswered = true\n");
    private Judge judge;
    private Try read, put, once;

    @BeforeMethod
    public void tries() {
        judge = new Judge(scenario.rules());
        SimulatedTimeline timeline = new SimulatedTimeline();
        List<Try> tries = new ArrayList<>();
        Population.Gateway gateway = new Population.Gateway() {
            @Override
            public int choose() {
                return 1;
            }

            @Override
            public void send(Try t) {
                tries.add(t);
            }

            @Override
            public void leave(Try t) {}
        };
        new Population(scenario, 1, timeline, gateway, new Tally(scenario)).begin(S);
        timeline.runUntil(S);
        read = of(tries, Effect.IDEMPOTENT);
        put = of(tries, Effect.DEDUPLICATED);
        once = of(tries, Effect.NON_IDEMPOTENT);
    }

    private static Try of(List<Try> tries, Effect effect) {
        return tries.stream().filter(t -> t.ask.track.effect() == effect).findFirst().orElseThrow();
    }

    private static Request request(Try t) {
        return new Request(t.id, t.ask.key, t.ask.track, t.ask.mark, false);
    }

    private static Answer value(Try t) {
        return new Answer(Answer.Kind.VALUE, 0, t.id, 1);
    }

    private void taken(Try t) {
        judge.sending(S, t);
        judge.taken(S, t);
    }

    private void breaches(Rule rule, int count) {
        assertEquals(judge.count(rule), count, judge.breaches().toString());
        assertEquals(judge.breaches().size(), count);
    }

    @Test
    public void oneAnswerWithWhatWasMadeForItIsFine() {
        taken(read);
        judge.begun(S, "a-0", request(read));
        judge.answered(S + MS, read, value(read));
        judge.sweep(60 * S);
        breaches(Rule.ONE_ANSWER, 0);
    }

    @Test
    public void aSecondAnswerIsABreachWithTheWholeStory() {
        taken(read);
        judge.begun(S, "a-0", request(read));
        judge.answered(S + MS, read, value(read));
        judge.answered(S + 2 * MS, read, value(read));
        breaches(Rule.ONE_ANSWER, 1);
        assertEquals(judge.breaches().get(0).story().size(), 4);
        assertTrue(judge.breaches().get(0).story().get(1).endsWith("comes to a-0"));
    }

    @Test
    public void anAnswerMadeForAnotherIsABreach() {
        taken(read);
        judge.answered(S, read, new Answer(Answer.Kind.VALUE, 0, "qother.1", 1));
        breaches(Rule.ONE_ANSWER, 1);
    }

    @Test
    public void aConnectionThatEndsUnderAQueryIsABreachOnlyOnceItWasTaken() {
        judge.sending(S, read);
        judge.cutOff(S, read);
        breaches(Rule.ONE_ANSWER, 0);
        taken(put);
        judge.cutOff(S, put);
        breaches(Rule.ONE_ANSWER, 1);
    }

    @Test
    public void aQueryThatIsNeverAnsweredIsABreach() {
        taken(read);
        judge.left(read.until, read);
        taken(put);
        judge.sweep(60 * S);
        breaches(Rule.ONE_ANSWER, 2);
        assertEquals(judge.unanswered(), 2);
    }

    @Test
    public void whatTheRigItselfHeldUpIsExcused() {
        taken(read);
        judge.held(S + MS, 1);
        judge.cutOff(S + 2 * MS, read);
        judge.released(S + 3 * MS, 1);
        breaches(Rule.ONE_ANSWER, 0);
        assertEquals(judge.excused(), 1);
        judge.sending(S + 4 * MS, put);
        judge.taken(S + 4 * MS, put);
        judge.cutOff(S + 5 * MS, put);
        breaches(Rule.ONE_ANSWER, 1);
    }

    @Test
    public void anUnsafeWriteMayGoAgainOnlyWhereItNeverRan() {
        taken(once);
        judge.begun(S, "origin", request(once));
        judge.ended(S, "origin", request(once), BUSY);
        judge.begun(S, "origin", request(once));
        breaches(Rule.NO_EFFECT_TWICE, 0);
        judge.begun(S, "origin", request(once));
        breaches(Rule.NO_EFFECT_TWICE, 1);
    }

    @Test
    public void anUnsafeWriteThatMayHaveRunMayNotBeRejected() {
        taken(once);
        judge.begun(S, "origin", request(once));
        judge.answered(S + MS, once, new Answer(Answer.Kind.REJECTED, 0, "", 0));
        breaches(Rule.NO_EFFECT_TWICE, 1);
    }

    @Test
    public void anEffectTwiceIsABreachAlsoOverTwoTries() {
        taken(put);
        judge.effect(S, request(put));
        judge.ended(S, "origin", request(put), DONE);
        breaches(Rule.NO_EFFECT_TWICE, 0);
        judge.effect(S, request(put));
        breaches(Rule.NO_EFFECT_TWICE, 1);
    }

    @Test
    public void whatIsSentToALeavingNodeIsABreachAfterTheGraceOnly() {
        judge.told(S, 1, "a-0", "draining");
        taken(read);
        judge.begun(S + scenario.rules().graceNs(), "a-0", request(read));
        breaches(Rule.NOTHING_TO_LEAVING, 0);
        judge.begun(S + scenario.rules().graceNs() + 1, "a-0", request(read));
        breaches(Rule.NOTHING_TO_LEAVING, 1);
        judge.told(S + 9 * S, 1, "a-0", null);
        judge.begun(S + 20 * S, "a-0", request(read));
        breaches(Rule.NOTHING_TO_LEAVING, 1);
    }

    @Test
    public void eachProxyKnowsOnlyWhatItWasTold() {
        judge.told(S, 0, "a-0", "gone");
        taken(read); // at proxy 1
        judge.begun(S + 10 * S, "a-0", request(read));
        breaches(Rule.NOTHING_TO_LEAVING, 0);
    }

    @Test
    public void nothingIsRememberedForEver() {
        for (int i = 0; i < 3; i++) {
            taken(read);
            judge.answered(S, read, value(read));
            judge.sweep(read.until + 6 * S);
        }
        judge.answered(60 * S, read, value(read)); // long forgotten: not told as a second
        breaches(Rule.ONE_ANSWER, 0);
    }
}
