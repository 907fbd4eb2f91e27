package ivybank.testing;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;

/** A log that stops the event loop in the midst of a pass over the sockets, at each line that holds some words. */
public final class HaltingLines {

    private HaltingLines() {}

    /** Says so by {@code halted}, and goes on at {@code go}. */
    public static PrintStream at(String words, CountDownLatch halted, CountDownLatch go) {
        return new PrintStream(OutputStream.nullOutputStream()) {
            @Override
            public void println(String line) {
                if (line.contains(words)) {
                    halted.countDown();
                    try {
                        go.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
            }
        };
    }
}
