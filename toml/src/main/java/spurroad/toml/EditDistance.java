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
    static Optional<String> nearest(String word, Collection<String> candidates) {
        return candidates.stream().filter(candidate -> between(candidate, word) <= MAX_TYPO_DISTANCE)
            .min(Comparator.comparingInt(candidate -> between(candidate, word)));
    }

    /**
     * Returns the least number of character insertions, deletions and substitutions that turn one word into
     * the other.
     */
    static int between(String a, String b) {
        int[] row = new int[b.length() + 1];
        Arrays.setAll(row, i -> i);
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int above = row[j];
                int substituted = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(substituted, Math.min(above, row[j - 1]) + 1);
                diagonal = above;
            }
        }
        return row[b.length()];
    }
}
