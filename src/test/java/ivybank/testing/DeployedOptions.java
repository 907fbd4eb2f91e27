package ivybank.testing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Collectors;

/** The options of the Java runtime with which the deploy file runs a sidecar, for a sidecar on the class path. */
public final class DeployedOptions {

    private static final Path FILE = Path.of("deploy/balancer.toml");

    private DeployedOptions() {}

    /** Returns the options but for the class-data archive, which is made for the jar. */
    public static String read() throws IOException {
        String run = Files.readAllLines(FILE).stream()
                .filter(line -> line.startsWith("run ="))
                .findFirst()
                .orElseThrow();
        return Arrays.stream(run.split(" "))
                .filter(word -> word.startsWith("-X") && !word.startsWith("-XX:SharedArchiveFile"))
                .collect(Collectors.joining(" "));
    }
}
