package ivybank.common;

import java.io.PrintStream;

/** Writes log lines for operators. The number of lines per second is limited, and omitted lines are counted. */
public final class Log {

    private static final int MAX_LINES_PER_SECOND = 20;
    private static final double SECOND_MS = 1000;

    private final PrintStream out;
    private final Clock clock;
    private double secondStartedMs;
    private int written;
    private int suppressed;

    public Log(PrintStream out, Clock clock) {
        this.out = out;
        this.clock = clock;
        this.secondStartedMs = clock.nowMs();
    }

    public void line(String text) {
        double nowMs = clock.nowMs();
        if (nowMs - secondStartedMs >= SECOND_MS) {
            if (suppressed > 0) {
                out.println("(" + suppressed + " log lines omitted)");
            }
            secondStartedMs = nowMs;
            written = 0;
            suppressed = 0;
        }
        if (written < MAX_LINES_PER_SECOND) {
            written++;
            out.println(text);
        } else {
            suppressed++;
        }
    }
}
