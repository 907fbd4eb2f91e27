package ivybank.promises;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.promises.SettledIdentities.Settled;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares the compact table with a map that keeps the order of its entries. */
class SettledIdentitiesTest {

    private static final int STEPS = 200_000;
    private static final int NAMES = 3000;
    private static final int MOST = 1500;
    private static final int LONG_NAME = 2000;

    private final SettledIdentities settled = new SettledIdentities(7);
    private final Map<String, Settled> model = new LinkedHashMap<>();

    private static String name(SplittableRandom random) {
        int number = random.nextInt(NAMES);
        return number % 100 == 0 ? "x".repeat(LONG_NAME) + number : "submit\n" + number;
    }

    private void add(String name, PromiseState state, double sinceMs) {
        assertEquals(model.remove(name), settled.remove(name));
        settled.add(name, state, sinceMs);
        model.put(name, new Settled(name, state, sinceMs));
    }

    // Guards against an identity that is forgotten, doubled or out of order where others are removed round it.
    @Test
    void itKeepsWhatAMapKeepsInItsOrder() {
        SplittableRandom random = new SplittableRandom(1);
        for (int step = 0; step < STEPS; step++) {
            String name = name(random);
            if (random.nextInt(3) > 0) {
                add(name, random.nextBoolean() ? PromiseState.ACKED : PromiseState.IN_DOUBT, step);
            } else {
                assertEquals(model.remove(name), settled.remove(name));
            }
            while (model.size() > MOST) {
                String oldest = model.keySet().iterator().next();
                assertEquals(model.get(oldest), settled.oldest());
                settled.remove(oldest);
                model.remove(oldest);
            }
            assertEquals(model.get(name), settled.get(name));
            assertEquals(model.size(), settled.size());
        }
        long entryBytes = model.keySet().stream()
                .mapToLong(each -> each.length() + SettledIdentities.ENTRY_HEADER_BYTES)
                .sum();
        assertTrue(settled.bytes() >= entryBytes, settled.bytes() + " bytes for " + entryBytes);
        for (Settled oldest = settled.oldest(); oldest != null; oldest = settled.oldest()) {
            assertEquals(model.remove(oldest.identity()), settled.remove(oldest.identity()));
        }
        assertTrue(model.isEmpty());
    }

    // Guards against a table that is cleared and still knows something, or takes memory.
    @Test
    void aClearedTableIsEmptyAndCanBeUsedAgain() {
        add("a", PromiseState.ACKED, 1);
        settled.clear();
        assertNull(settled.get("a"));
        assertNull(settled.oldest());
        assertEquals(0, settled.bytes());
        settled.add("a", PromiseState.IN_DOUBT, 2);
        assertEquals(new Settled("a", PromiseState.IN_DOUBT, 2), settled.oldest());
    }
}
