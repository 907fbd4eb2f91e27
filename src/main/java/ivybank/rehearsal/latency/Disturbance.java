package ivybank.rehearsal.latency;

import java.util.Arrays;
import java.util.Locale;

/** What happens, once a second, while a sidecar's overhead is measured. */
public enum Disturbance {
    /** Nothing. */
    REST,
    /** Discovery tells of {@link #CHANGED_NODES} nodes at once: new ones in one second, their end in the next. */
    LIST_CHANGE,
    /** SIGHUP: the sidecar reads its configuration again. */
    SIGHUP,
    /** One node takes requests and answers none, all the time. */
    HANGING_NODE,
    /** A twentieth of the answers through the sidecar can't be read, and another twentieth is followed by a second one. */
    BAD_ANSWERS,
    /** A tenth of the answers through the sidecar is followed by a second one, at each of the delays that were seen. */
    SECOND_ANSWERS,
    /** A full garbage collection in the sidecar, asked for by {@code jcmd}. */
    COLLECTION;

    /** Nodes in one change of the list. */
    public static final int CHANGED_NODES = 365;

    /** The part of the answers that are bad in {@link #BAD_ANSWERS}, for each of the two ways. */
    public static final double BAD_PART = 0.05;

    /** The part of the answers that are followed by a second one in {@link #SECOND_ANSWERS}. */
    public static final double SECOND_PART = 0.1;

    /** The name as operators write it: {@code list-change}. */
    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The one of this name; the message of what it throws lists all names. */
    public static Disturbance of(String name) {
        return Arrays.stream(values())
                .filter(each -> each.toString().equals(name))
                .findFirst()
                .orElseThrow(
                        () -> new IllegalArgumentException("'" + name + "' is none of " + Arrays.toString(values())));
    }
}
