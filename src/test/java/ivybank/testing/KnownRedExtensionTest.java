package ivybank.testing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class KnownRedExtensionTest {

    private static final String SEED = "SoakTest#runs(36): drains, issue 1";

    // Guards the seeds that are not listed: a line for one passed over all.
    @Test
    void aLineForOneArgumentPassesOverNoOther() {
        assertTrue(KnownRedExtension.lists(SEED, "SoakTest#runs", "[1] 36"));
        assertTrue(KnownRedExtension.lists(SEED, "SoakTest#runs", "[2] seed=36"));
        assertFalse(KnownRedExtension.lists(SEED, "SoakTest#runs", "[36] 1"));
        assertFalse(KnownRedExtension.lists(SEED, "SoakTest#runs", "[1] 136"));
        assertFalse(KnownRedExtension.lists(SEED, "SoakTest#runsOn", "[1] 36"));
        assertTrue(KnownRedExtension.lists("SoakTest#runs: all", "SoakTest#runs", "[1] 7"));
        assertFalse(KnownRedExtension.lists("# SoakTest#runs: all", "SoakTest#runs", "[1] 7"));
    }
}
