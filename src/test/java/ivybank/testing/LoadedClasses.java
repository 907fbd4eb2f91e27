package ivybank.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** What a sidecar without an operator file may load, read from the log of {@code -Xlog:class+load}. */
public final class LoadedClasses {

    private static final List<String> OFF = List.of(
            "ivybank.rehearsal",
            "ivybank.cli.",
            "ivybank.operator",
            "ivybank.toml.StrictTable",
            "ivybank.store",
            "ivybank.fleet",
            "ivybank.peers",
            "ivybank.promises",
            "ivybank.scale",
            "org.apache.commons.math3",
            "org.jfree",
            "picocli",
            "ivybank.control.AdminEndpoint",
            "org.HdrHistogram",
            "dataformat.toml");

    private LoadedClasses() {}

    public static void assertServeAlone(Path log) throws IOException {
        List<String> classes = Files.readAllLines(log);
        assertTrue(classes.stream().anyMatch(line -> line.contains("ivybank.daemon.Sidecar")));
        for (String part : OFF) {
            assertEquals(
                    List.of(),
                    classes.stream().filter(line -> line.contains(part)).toList());
        }
    }
}
