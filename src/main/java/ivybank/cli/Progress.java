package ivybank.cli;

import java.util.function.Consumer;

/** Shows progress on standard error: one line that changes on a terminal, else a line now and then. */
final class Progress implements Consumer<String> {

    private static final int EVERY = 10;

    @SuppressWarnings("SystemConsoleNull") // it is null without a terminal on Java 17, which this runs on
    private final boolean terminal = System.console() != null;

    private int told;

    @Override
    public void accept(String line) {
        if (terminal) {
            System.err.print("\r\u001b[K" + line);
        } else if (told % EVERY == 0) {
            System.err.println(line);
        }
        told++;
    }
}
