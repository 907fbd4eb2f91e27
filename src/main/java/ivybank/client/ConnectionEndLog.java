package ivybank.client;

import ivybank.common.Clock;
import ivybank.common.LineLimit;
import ivybank.common.Log;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Counts the ends of client connections by reason, and logs those on which a request has no whole answer. The lines per
 * second are limited for each reason, so that clients that leave do not suppress other lines of the log.
 */
final class ConnectionEndLog {

    private final Log log;
    private final Clock clock;
    private final Map<EndReason, Long> counts = new EnumMap<>(EndReason.class);
    private final LineLimit<EndReason> lines = new LineLimit<>();

    ConnectionEndLog(Log log, Clock clock) {
        this.log = log;
        this.clock = clock;
    }

    /**
     * Records the end of a connection.
     *
     * @param connectionId the number of the connection in this process
     * @param unanswered what was owed on it
     * @param quietMs the time since its last input or answer, in milliseconds
     * @param error the error that ended it, or null
     */
    void ended(long connectionId, EndReason reason, UnansweredState unanswered, double quietMs, Throwable error) {
        counts.merge(reason, 1L, Long::sum);
        if ((unanswered.isOwed() || error != null) && lines.allows(reason, clock.nowMs())) {
            log.line("client connection " + connectionId + " ended: " + name(reason) + ", "
                    + Math.round(quietMs) + " ms after its last input or answer; " + unanswered
                    + (error == null ? "" : "; " + error));
        }
    }

    /** Returns the counts by reason on one line. */
    String summary() {
        return counts.entrySet().stream()
                .map(each -> name(each.getKey()) + " " + each.getValue())
                .collect(Collectors.joining(", ", "client connections ended so far: ", ""));
    }

    private static String name(EndReason reason) {
        return reason.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
