package spurroad.toml;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Suggests the key that a user probably meant, by Levenshtein distance (1966). */
final class EditDistance {
    /** Largest distance, in characters, that counts as a typing error. */
    private static final int MAX_TYPO_DISTANCE = 3;

    private EditDistance() {}

    /** Returns the candidate nearest to a mistyped word; empty if none is near enough. */
    static Optional<String> nearest(String mistypedWord, Collection<String> candidates) {
        return candidates.stream().filter(candidate -> distance(candidate, mistypedWord) <= MAX_TYPO_DISTANCE)
            .min(Comparator.comparingInt(candidate -> distance(candidate, mistypedWord)));
    }

    /**
     * Returns the least number of character insertions, deletions and substitutions that turn one word into
     * the other.
     */
    static int distance(String first, String second) {
        int[] row = new int[second.length() + 1];
        Arrays.setAll(row, i -> i);
        for (int i = 1; i <= first.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= second.length(); j++) {
                int above = row[j];
                int substituted = diagonal + (first.charAt(i - 1) == second.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(substituted, Math.min(above, row[j - 1]) + 1);
                diagonal = above;
            }
        }
        return row[second.length()];
    }
}
