package ivybank.rehearsal;

import ivybank.rehearsal.scenario.Scenario;
import ivybank.rehearsal.scenario.ScenarioReader;
import ivybank.toml.InputException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The scenarios that ship with the program, and those in files. */
public final class Scenarios {

    private static final String END = ".toml";

    private Scenarios() {}

    /** The names of those that ship, in the order in which they are worth playing. */
    public static List<String> names() {
        try (InputStream in = Scenarios.class.getResourceAsStream("scenarios.txt")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> !line.isBlank())
                    .toList();
        } catch (IOException e) {
            throw new IllegalStateException("the list of scenarios is not in the jar", e);
        }
    }

    /** One that ships, or the one in a file if the name ends in .toml. */
    public static Scenario find(String name) throws InputException {
        return ScenarioReader.read(name.endsWith(END) ? name : name + END, text(name));
    }

    /** The text of one that ships, or of the one in a file if the name ends in .toml. */
    public static String text(String name) throws InputException {
        if (name.endsWith(END)) {
            try {
                return Files.readString(Path.of(name));
            } catch (IOException e) {
                throw new InputException(
                        name + ": can't be read: " + e.getClass().getSimpleName());
            }
        }
        if (!names().contains(name)) {
            throw new InputException("no scenario \"" + name + "\" ships with this program: a file that ends in " + END
                    + " or one of " + names() + " is allowed");
        }
        try (InputStream in = Scenarios.class.getResourceAsStream(name + END)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException("scenario " + name + " is not in the jar", e);
        }
    }
}
