package ivybank.room;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WindowTest {

    @Test
    void twoProcessesFillOneWindowTogether() {
        Window window = new Window();
        window.reset(4);
        window.sent();
        window.elsewhere(2);
        assertFalse(window.isFull(0));
        window.sent();
        assertTrue(window.isFull(0));
        window.elsewhere(0);
        assertFalse(window.isFull(0), "the other has ended");
    }

    @Test
    void itGrowsWhileItIsUsedAndAnswersAreQuickAndShrinksNoFurtherThanItsLeast() {
        Window window = new Window();
        window.reset(4);
        window.answered(0, 100, 100, 100, 1);
        assertEquals(4, window.size(), "nothing was out");
        window.sent();
        window.answered(0, 100, 100, 100, 1);
        assertEquals(4.25, window.size());
        for (int i = 0; i < 50; i++) {
            window.answered(0, 1000, 100, 100, 2);
        }
        assertEquals(2, window.size());
    }

    @Test
    void aFailureFreesItsPlaceNoSoonerThanAnAnswerWould() {
        Window window = new Window();
        window.reset(2);
        int sent = 0;
        for (int ms = 0; ms < 1000; ms++) { // fails in the same millisecond
            if (!window.isFull(ms)) {
                window.sent();
                window.ended();
                window.failed(ms, 0, 100);
                sent++;
            }
        }
        assertEquals(20, sent, 1, "two places, for 100 ms each");
        window.failed(2000, 500, 100);
        assertFalse(window.isFull(2000), "a late failure has held its place already");
    }
}
