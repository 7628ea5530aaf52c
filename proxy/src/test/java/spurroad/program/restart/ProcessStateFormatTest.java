package spurroad.program.restart;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The text of a state; {@link RestartDirectoryGoldenTest} holds it to the bytes of earlier versions. */
public class ProcessStateFormatTest {
    private static final ProcessState SHUTTING_DOWN = new ProcessState(5, 7, true, 30, Set.of("a1", "b2"));
    private static final ProcessState STARTING = new ProcessState(5, ProcessState.NOT_SERVING_YET, false, 30,
        Set.of());

    @DataProvider
    Object[][] states() {
        return new Object[][] {{SHUTTING_DOWN}, {STARTING}};
    }

    @Test(dataProvider = "states")
    public void decodesEncodedState(ProcessState state) {
        assertEquals(ProcessStateFormat.decode(ProcessStateFormat.encode(state)), Optional.of(state));
    }

    @DataProvider
    Object[][] malformed() {
        String complete = ProcessStateFormat.encode(SHUTTING_DOWN);
        List<Object[]> cases = new ArrayList<>();
        for (int length = 0; length < complete.length(); length++) {
            cases.add(new Object[] {complete.substring(0, length)});
        }
        cases.add(new Object[] {complete.replace("process 1", "process 2")});
        cases.add(new Object[] {complete.replace("places 30", "places x")});
        return cases.toArray(Object[][]::new);
    }

    @Test(dataProvider = "malformed")
    public void rejectsTruncatedTextAndOtherFormats(String text) {
        assertEquals(ProcessStateFormat.decode(text), Optional.empty());
    }
}
