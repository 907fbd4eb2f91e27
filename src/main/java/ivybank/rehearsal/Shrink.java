package ivybank.rehearsal;

import java.util.ArrayList;
import java.util.List;

/** Cuts a list down by halves, and then by smaller parts, to what is needed for something to be so (Zeller's ddmin). */
public final class Shrink {

    /** Whether a part of the list still does it. */
    public interface Check<T, E extends Exception> {
        boolean holds(List<T> part) throws E;
    }

    private Shrink() {}

    /**
     * The smallest part that was found.
     *
     * @param most checks that may be made; what was found until then is returned
     */
    public static <T, E extends Exception> List<T> to(List<T> all, int most, Check<T, E> check) throws E {
        List<T> kept = List.copyOf(all);
        int checks = 0;
        for (int parts = 2; kept.size() >= 2 && checks < most; ) {
            List<T> smaller = null;
            int each = (kept.size() + parts - 1) / parts;
            for (int from = 0; from < kept.size() && smaller == null && checks < most; from += each) {
                List<T> without = new ArrayList<>(kept.subList(0, from));
                without.addAll(kept.subList(Math.min(kept.size(), from + each), kept.size()));
                checks++;
                smaller = check.holds(without) ? without : null;
            }
            if (smaller != null) {
                kept = smaller;
                parts = Math.max(2, parts - 1);
            } else if (each == 1) {
                break;
            } else {
                parts = Math.min(kept.size(), 2 * parts);
            }
        }
        return kept;
    }
}
