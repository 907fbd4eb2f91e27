package ivybank.scale.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.toml.InputException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The file of a scale run. */
class ScalePlanReaderTest {

    @Test
    void theFileThatShipsIsGood() throws Exception {
        ScalePlan plan = ScalePlanReader.read(Path.of("deploy/scale.toml"));
        assertEquals(3, plan.seeds().size());
        assertTrue(plan.list().sizes().size() >= 5);
        assertTrue(plan.fleet().sizes().size() >= 5);
        assertTrue(plan.view().sizes().size() >= 5);
        assertEquals(6, plan.beside().sidecars());
    }

    @Test
    void eachBadValueHasALineOfItsOwn() {
        InputException refused = assertThrows(InputException.class, () -> ScalePlanReader.parse("bad.toml", """
                        seeds = [0]
                        tarlet = 5
                        [bounds]
                        memory_mb = 1
                        late_ms = "x"
                        [list]
                        sizes = [10, "many"]
                        [view]
                        processes = 0
                        """));
        List<String> lines = refused.getMessage().lines().toList();
        assertEquals(6, lines.size(), refused.getMessage());
        assertTrue(lines.stream().allMatch(line -> line.startsWith("bad.toml: ")), refused.getMessage());
        for (String key :
                List.of("seeds", "tarlet", "bounds.memory_mb", "bounds.late_ms", "list.sizes", "view.processes")) {
            assertTrue(lines.stream().anyMatch(line -> line.startsWith("bad.toml: " + key + " ")), key);
        }
    }
}
