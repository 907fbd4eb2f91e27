package ivybank.rehearsal.referee;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ReturnsTest {

    @Test
    void eachStartIsTimedStepByStepAndOnlyTheFirstOfEachCounts() {
        Returns returns = new Returns();
        returns.attempted(0, "a", false, 500); // of the process that was there from the beginning
        returns.started(0, 1000);
        returns.called(0, 1100);
        returns.ready(0, 1500);
        returns.attempted(0, "a", false, 1600);
        returns.attempted(0, "b", false, 1700);
        returns.served(0, 1900);
        returns.called(0, 2500);
        returns.started(0, 3000);
        assertEquals(
                new Returns.Start(0, 1000, 100, 500, 600, 900), returns.starts().get(0));
        assertEquals(
                new Returns.Start(0, 3000, Double.NaN, Double.NaN, Double.NaN, Double.NaN),
                returns.starts().get(1));
    }

    @Test
    void whatOthersBoreIsTheMostAtOneNodeBySecond() {
        Returns returns = new Returns();
        returns.connected("a", 1100);
        returns.connected("a", 1900);
        returns.connected("b", 1950);
        returns.connected("b", 2000);
        returns.attempted(1, "b", true, 2000);
        returns.attempted(2, "b", true, 2999);
        returns.attempted(2, "a", false, 2999);
        returns.called(1, 2100);
        assertEquals(new Returns.Borne(2, 0, 0, 0), returns.borne(1));
        assertEquals(new Returns.Borne(1, 2, 1, 3), returns.borne(2));
        assertEquals(new Returns.Borne(2, 2, 1, 3), returns.worst(0, 5));
        assertEquals(new Returns.Borne(0, 0, 0, 0), returns.worst(3, 5));
    }
}
