package ivybank.rehearsal.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.rehearsal.Scenarios;
import ivybank.rehearsal.scenario.Plan.Arrival;
import ivybank.toml.InputException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScenarioTest {

    private static final String GOOD = """
            name = "x"
            length_s = 5
            [[kind]]
            name = "k"
            [[class]]
            name = "c"
            aim_ms = 100
            deadline_ms = 400
            effect = "safe"
            [traffic]
            rate = 100
            [[fault]]
            kind = "silent"
            at_s = 1
            part = 0.2
            """;

    @Test
    void allThatShipCanBeUsed() throws InputException {
        assertTrue(Scenarios.names().size() >= 8);
        for (String name : Scenarios.names()) {
            assertEquals(name, Scenarios.find(name).name());
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "length_s = 5 | length_s = -1 | f.toml: length_s is -1: a number from 1 to 3600 is allowed",
                "length_s = 5 | length_s = \"5\" | f.toml: length_s is \"5\": a number from 1 to 3600 is allowed",
                "length_s = 5 | lenght_s = 5 | f.toml: length_s is missing: a number from 1 to 3600 is allowed",
                "rate = 100 | rates = 100 | f.toml: traffic.rates is not known here: allowed are [rate, sidecars, skew, swing]",
                "\"silent\" | \"silence\" | f.toml: fault[0].kind is \"silence\": one of [silent, slow, deploy, die, vanish, spoil, "
                        + "break, replace, kill, term, roster-silent, roster-odd, roster-hush, roster-reset, roster-old, roster-move, partition, link, freeze, join, lose, "
                        + "twice, storm] is allowed",
                "[traffic] | [[class]];;name = \"c\";;aim_ms = 1;;deadline_ms = 2;;effect = \"safe\";;[traffic] | f.toml: class has two of the name \"c\"",
                "\"silent\" | \"partition\" | f.toml: fault of kind \"partition\" needs peers.on = true",
                "part = 0.2 | members = [12] | f.toml: fault of kind \"silent\" names 12: 0 to 11 are there",
                "aim_ms = 100 | aim_ms = 500 | f.toml: class[0].aim_ms is 500: a number from 1 to 400 is allowed",
                "[[kind]] | [kinds] | f.toml: kind is missing: a scenario needs a [[kind]] of node at least",
                "name = \"x\" | name = x | f.toml, line 1",
                "rate = 100 | rate = [3, 1] | f.toml: traffic.rate is [3,1]: a number from 1 to 20000 is allowed"
            })
    void whatIsWrongIsSaidInOneLineWithThePlaceAndWhatIsAllowed(String from, String to, String message) {
        InputException e = assertThrows(
                InputException.class, () -> ScenarioReader.read("f.toml", GOOD.replace(from, to.replace(";;", "\n"))));
        assertTrue(e.getMessage().startsWith(message), e.getMessage());
        assertEquals(1, e.getMessage().lines().count());
    }

    @Test
    void theSameSeedGivesTheSameDayAndAnotherSeedAnother() throws InputException {
        Scenario scenario = ScenarioReader.read("f.toml", GOOD);
        Plan plan = Plan.draw(scenario, 7);
        assertEquals(plan, Plan.draw(scenario, 7));
        assertNotEquals(plan.arrivals(), Plan.draw(scenario, 8).arrivals());
        assertEquals(2, plan.targets().get(0).members().size());
        List<Arrival> arrivals = plan.arrivals();
        assertTrue(arrivals.size() > 400 && arrivals.size() < 600, arrivals.size() + " in 5 s at 100 a second");
        for (int i = 1; i < arrivals.size(); i++) {
            assertTrue(arrivals.get(i).atMs() >= arrivals.get(i - 1).atMs());
        }
    }
}
