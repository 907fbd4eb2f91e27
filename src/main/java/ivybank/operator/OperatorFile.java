package ivybank.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import ivybank.discovery.Timing;
import ivybank.toml.InputException;
import ivybank.toml.StrictTable;

/**
 * What operators set beside the platform's configuration, in TOML: all that is new goes here, and without the file all of it
 * is off or standard. Read once, at the start.
 */
public record OperatorFile(Timing discovery) {

    private static final int LEAST_MS = 50;
    private static final int MOST_MS = 600_000;

    /**
     * Reads a file.
     *
     * @param asked whether the settings say that discovery is asked, which the standard values depend on
     * @throws InputException in one line, with file, key and what is allowed
     */
    public static OperatorFile read(Path file, boolean asked) throws InputException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new InputException(file + ": can't be read: " + e.getClass().getSimpleName());
        }
        StrictTable root = StrictTable.parse(file.toString(), text);
        StrictTable discovery = root.table("discovery");
        Timing standard = Timing.standard(asked);
        OperatorFile read = new OperatorFile(new Timing(
                discovery.integer("silence_ms", LEAST_MS, MOST_MS, standard.silenceMs()),
                discovery.integer("first_answer_ms", LEAST_MS, MOST_MS, standard.firstAnswerMs()),
                discovery.number("longest_pause_ms", LEAST_MS, MOST_MS, standard.longestPauseMs())));
        discovery.end();
        root.end();
        return read;
    }
}
