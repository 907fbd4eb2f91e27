package ivybank.tally;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Reads a folder of logs, one file for each sidecar. Malformed input is counted and skipped, and is never fatal. */
public final class LogFolder {

    private LogFolder() {}

    /**
     * Sums all files of a folder whose names end in {@code .log}.
     *
     * @throws IOException if the folder or a file can't be read at all
     */
    public static FleetSum sum(Path folder) throws IOException {
        FleetSum sum = new FleetSum();
        List<Path> files = new ArrayList<>();
        try (Stream<Path> all = Files.list(folder)) {
            all.filter(file -> file.getFileName().toString().endsWith(".log") && Files.isRegularFile(file))
                    .sorted()
                    .forEach(files::add);
        }
        for (Path file : files) {
            String name = file.getFileName().toString();
            // Truncated or corrupt logs contain bytes that are not valid text, which must not end the sum.
            try (BufferedReader lines = new BufferedReader(new InputStreamReader(
                    Files.newInputStream(file),
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .onMalformedInput(CodingErrorAction.REPLACE)
                            .onUnmappableCharacter(CodingErrorAction.REPLACE)))) {
                sum.startLog(name.substring(0, name.length() - ".log".length()));
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    sum.addLine(line);
                }
            }
        }
        return sum;
    }
}
