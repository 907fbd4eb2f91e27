package ivybank.testing;

import java.nio.file.Path;

/** A night of two seconds on which nothing goes wrong, and a command that plays the sidecar of these tests' class path. */
public final class ShortNight {

    public static final String TOML = """
            name = "short"
            length_s = 2
            [fleet]
            nodes = 3
            sites = 1
            [[kind]]
            name = "k"
            [[class]]
            name = "read"
            work_ms = 5
            aim_ms = 800
            deadline_ms = 2000
            effect = "safe"
            [traffic]
            rate = 50
            sidecars = 1
            """;

    private ShortNight() {}

    /**
     * The program of this class path, with the heap of a deployed sidecar unless these options of the Java runtime say otherwise:
     * with the runtime's own bound a heap that only fills for the first time looks like memory that goes on growing.
     */
    public static String program(String options) {
        return "exec '" + Path.of(System.getProperty("java.home"), "bin", "java") + "' -XX:+UseSerialGC"
                + " -XX:TieredStopAtLevel=1 -Xms48m -Xmx48m " + options + " -cp '"
                + System.getProperty("java.class.path") + "' ivybank.Main ";
    }
}
