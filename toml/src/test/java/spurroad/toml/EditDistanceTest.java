package spurroad.toml;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EditDistanceTest {
    @DataProvider
    Object[][] words() {
        return new Object[][] {{"", "", 0}, {"a", "", 1}, {"lenght", "length", 2}, {"seeds", "seed", 1},
            {"abc", "xyz", 3}};
    }

    @Test(dataProvider = "words")
    public void countsEditsInEitherDirection(String first, String second, int distance) {
        assertEquals(EditDistance.distance(first, second), distance);
        assertEquals(EditDistance.distance(second, first), distance);
    }

    @Test
    public void suggestsOnlySimilarWord() {
        assertEquals(EditDistance.nearest("lenght", List.of("name", "length")), Optional.of("length"));
        assertEquals(EditDistance.nearest("seconds", List.of("name", "length")), Optional.empty());
    }
}
