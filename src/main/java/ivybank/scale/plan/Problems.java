package ivybank.scale.plan;

import ivybank.toml.InputException;
import java.util.ArrayList;
import java.util.List;

/** Collects what is wrong with a file, so that each bad value is told in a line of its own. */
final class Problems {

    /** Reads one value. */
    interface Reading<T> {
        T read() throws InputException;
    }

    private final List<String> lines = new ArrayList<>();

    /** The value, or the other one where it is bad, which is noted. */
    <T> T or(T otherwise, Reading<T> reading) {
        try {
            return reading.read();
        } catch (InputException e) {
            lines.add(e.getMessage());
            return otherwise;
        }
    }

    void add(InputException problem) {
        lines.add(problem.getMessage());
    }

    /** Refuses the file if anything was wrong, with one line for each. */
    void end() throws InputException {
        if (!lines.isEmpty()) {
            throw new InputException(String.join("\n", lines));
        }
    }
}
