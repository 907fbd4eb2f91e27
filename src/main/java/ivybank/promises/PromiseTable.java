package ivybank.promises;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What this sidecar knows of each request that must not run twice, by its identity. Pure: it is told what happens, with the
 * time in ms, on one thread, and says what is to be done; whoever calls does it. It holds so many identities and no more.
 */
public final class PromiseTable {

    /** What an identity stands for. */
    public enum State {
        /** In hand; nothing has gone to a node. */
        TAKEN,
        /** In hand; it may run at a node. */
        SENT,
        /** It has run, and the answer is on record. */
        ACKED,
        /** It may have run, and nobody knows. */
        IN_DOUBT
    }

    /** What is to become of a request of an identity. */
    public enum Decision {
        /** Nothing speaks against it: it is taken. */
        NEW,
        /** The same is in hand: it is to share the answer. */
        JOIN,
        /** The answer on record is the answer. */
        STORED,
        /** It may have run: it fails, and must not be refused nor sent. */
        IN_DOUBT,
        /** All that can be remembered is in hand. */
        NO_ROOM
    }

    /** Figures for operators; counts are since the start. */
    public record Figures(
            int inHand,
            int acked,
            int inDoubt,
            long stored,
            long joined,
            long failedInDoubt,
            long forgottenByAge,
            long forgottenBySize,
            long forgottenInDoubt) {}

    /** Told of each identity that is forgotten, whose record is to go too. */
    public interface Forgotten {
        void identity(String identity, State was);
    }

    private record Settled(State state, double sinceMs) {}

    private final double keepMs;
    private final int most;
    private final Forgotten forgotten;
    private final Map<String, State> inHand = new HashMap<>();
    private final Map<String, Settled> settled = new LinkedHashMap<>(); // the oldest first
    private double lastMs;
    private int doubts;
    private long stored;
    private long joined;
    private long failedInDoubt;
    private long byAge;
    private long bySize;
    private long forgottenInDoubt;

    /**
     * @param keepMs how long an identity is remembered after its request has ended
     * @param most identities, those in hand included
     */
    public PromiseTable(double keepMs, int most, Forgotten forgotten) {
        this.keepMs = keepMs;
        this.most = most;
        this.forgotten = forgotten;
    }

    /** Time as it passes here: a clock that goes back stands still instead, so that nothing is kept for ever. */
    private double now(double nowMs) {
        lastMs = Math.max(lastMs, nowMs);
        return lastMs;
    }

    /** What an earlier process has left on record; what was in hand then is in doubt. */
    public void recovered(String identity, State state, double sinceMs, double nowMs) {
        // A time that is still to come was written by a clock that has gone back since.
        settle(identity, state == State.ACKED ? State.ACKED : State.IN_DOUBT, Math.min(sinceMs, now(nowMs)));
    }

    /** Forgets what is too old or too much; call it once after all that is recovered, in the order of their times. */
    public void trim(double nowMs) {
        double now = now(nowMs);
        for (Iterator<Map.Entry<String, Settled>> each = settled.entrySet().iterator(); each.hasNext(); ) {
            Map.Entry<String, Settled> oldest = each.next();
            boolean old = now - oldest.getValue().sinceMs > keepMs;
            if (!old && settled.size() + inHand.size() <= most) {
                return;
            }
            each.remove();
            byAge += old ? 1 : 0;
            bySize += old ? 0 : 1;
            if (oldest.getValue().state == State.IN_DOUBT) {
                doubts--;
                forgottenInDoubt++;
            }
            forgotten.identity(oldest.getKey(), oldest.getValue().state);
        }
    }

    /** A request has come in. */
    public Decision ask(String identity, double nowMs) {
        trim(nowMs);
        Settled known = settled.get(identity);
        if (known != null) {
            stored += known.state == State.ACKED ? 1 : 0;
            failedInDoubt += known.state == State.ACKED ? 0 : 1;
            return known.state == State.ACKED ? Decision.STORED : Decision.IN_DOUBT;
        }
        if (inHand.containsKey(identity)) {
            joined++;
            return Decision.JOIN;
        }
        if (inHand.size() >= most) {
            return Decision.NO_ROOM;
        }
        inHand.put(identity, State.TAKEN);
        trim(nowMs);
        return Decision.NEW;
    }

    /** It is on record, and goes out now. */
    public void sent(String identity) {
        inHand.replace(identity, State.SENT);
    }

    /** Whether it may have run: something of it has gone to a node. */
    public boolean mayHaveRun(String identity) {
        return inHand.get(identity) == State.SENT;
    }

    /** Its answer is on record. */
    public void acked(String identity, double nowMs) {
        inHand.remove(identity);
        settle(identity, State.ACKED, now(nowMs));
    }

    /** It has ended with no answer of a node; {@code proved} if each attempt has proved that it did not run. */
    public void ended(String identity, boolean proved, double nowMs) {
        State was = inHand.remove(identity);
        if (was == State.SENT && !proved) {
            settle(identity, State.IN_DOUBT, now(nowMs));
        } else if (was != null) {
            forgotten.identity(identity, State.TAKEN);
        }
    }

    private void settle(String identity, State state, double sinceMs) {
        Settled before = settled.remove(identity);
        doubts -= before != null && before.state == State.IN_DOUBT ? 1 : 0;
        doubts += state == State.IN_DOUBT ? 1 : 0;
        settled.put(identity, new Settled(state, sinceMs));
    }

    public Figures figures() {
        return new Figures(
                inHand.size(),
                settled.size() - doubts,
                doubts,
                stored,
                joined,
                failedInDoubt,
                byAge,
                bySize,
                forgottenInDoubt);
    }
}
