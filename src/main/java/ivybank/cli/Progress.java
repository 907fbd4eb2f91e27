package ivybank.cli;

import java.util.function.Consumer;

/** Shows progress on standard error: one line that is overwritten on a terminal, otherwise every tenth line. */
final class Progress implements Consumer<String> {

    private static final int LINE_INTERVAL = 10;

    @SuppressWarnings("SystemConsoleNull") // it is null without a terminal on Java 17, which this runs on
    private final boolean terminal = System.console() != null;

    private int lines;

    @Override
    public void accept(String line) {
        if (terminal) {
            System.err.print("\r\u001b[K" + line);
        } else if (lines % LINE_INTERVAL == 0) {
            System.err.println(line);
        }
        lines++;
    }
}
