package ivybank.scale.result;

/** What a scale run measures at each size. */
public enum Quantity {
    LIST_BYTES(Sweep.LIST, "bytes", Measure.COUNT, "the whole list, to one sidecar"),
    LIST_HEAP(Sweep.LIST, "bytes", Measure.COUNT, "heap of one hollow sidecar"),
    LIST_REAL_RESIDENT(Sweep.LIST, "MB", Measure.COUNT, "resident memory of one real sidecar that serves nobody"),
    LIST_JOIN(Sweep.LIST, "ms", Measure.TIME, "8 hollow sidecars started together, until the last has the list"),
    LIST_REST_BYTES(Sweep.LIST, "bytes/s", Measure.COUNT, "to one sidecar, while nothing changes"),
    LIST_CHANGE_BYTES(Sweep.LIST, "bytes", Measure.COUNT, "one change of one entry, to one sidecar"),
    LIST_CHANGE_ALLOCATED(Sweep.LIST, "bytes", Measure.COUNT, "allocated by one hollow sidecar for one change"),
    LIST_CHANGE_CPU(Sweep.LIST, "ms", Measure.PROCESSOR, "processor time of one hollow sidecar for one change"),
    LIST_ALONE_CHANGE_CPU(
            Sweep.LIST,
            "ms",
            Measure.PROCESSOR,
            "processor time of one hollow sidecar for one change, alone in its process"),
    LIST_REAL_CHANGE_CPU(Sweep.LIST, "ms", Measure.PROCESSOR, "processor time of one real sidecar for one change"),
    LIST_REST_CPU(Sweep.LIST, "% of a core", Measure.PROCESSOR, "one hollow sidecar, while nothing changes"),
    LIST_REAL_REST_CPU(Sweep.LIST, "% of a core", Measure.PROCESSOR, "one real sidecar, while nothing changes"),
    LIST_IN_FORCE_50(Sweep.LIST, "ms", Measure.TIME, "one change, published to in force, half of the cases"),
    LIST_IN_FORCE_99(Sweep.LIST, "ms", Measure.TIME, "the same, 99 in 100"),
    LIST_IN_FORCE_100(Sweep.LIST, "ms", Measure.TIME, "the same, the longest"),
    LIST_ZONE_BYTES(Sweep.LIST, "bytes", Measure.COUNT, "one change of a zone's entries, to one sidecar"),
    LIST_ZONE_IN_FORCE_100(Sweep.LIST, "ms", Measure.TIME, "the same, published to in force at the last"),

    FLEET_JOIN(Sweep.FLEET, "ms", Measure.TIME, "all started together, until the last has the list"),
    FLEET_JOIN_BYTES(Sweep.FLEET, "bytes", Measure.COUNT, "sent by the control machine for that"),
    FLEET_JOIN_SERVER_CPU(Sweep.FLEET, "ms", Measure.PROCESSOR, "processor time of the control machine for that"),
    FLEET_WATCH_HEAP(Sweep.FLEET, "bytes", Measure.COUNT, "heap of the control machine with all watches"),
    FLEET_SERVER_RESIDENT(Sweep.FLEET, "MB", Measure.COUNT, "resident memory of the control machine"),
    FLEET_REST_SERVER_CPU(Sweep.FLEET, "% of a core", Measure.PROCESSOR, "the control machine, while nothing changes"),
    FLEET_CHANGE_MESSAGES(Sweep.FLEET, "messages", Measure.COUNT, "sent by the control machine for one change"),
    FLEET_CHANGE_BYTES(Sweep.FLEET, "bytes", Measure.COUNT, "sent by the control machine for one change"),
    FLEET_CHANGE_SERVER_CPU(
            Sweep.FLEET, "ms", Measure.PROCESSOR, "processor time of the control machine for one change"),
    FLEET_IN_FORCE_50(Sweep.FLEET, "ms", Measure.TIME, "one change, published to in force, half of the cases"),
    FLEET_IN_FORCE_99(Sweep.FLEET, "ms", Measure.TIME, "the same, 99 in 100"),
    FLEET_IN_FORCE_100(Sweep.FLEET, "ms", Measure.TIME, "the same, the longest"),
    FLEET_ZONE_IN_FORCE_100(Sweep.FLEET, "ms", Measure.TIME, "a zone's entries in one change, in force at the last"),
    FLEET_STOP_SETTLED(
            Sweep.FLEET,
            "ms",
            Measure.TIME,
            "the control machine stopped for 2 s: from then on until all have the next change"),
    FLEET_RESTART_SETTLED(
            Sweep.FLEET, "ms", Measure.TIME, "the control machine killed and started again: until all have its list"),
    FLEET_CUT_SETTLED(
            Sweep.FLEET,
            "ms",
            Measure.TIME,
            "a fifth cut off for 4 s with changes: from the healing until all have them"),
    FLEET_CUT_BYTES(
            Sweep.FLEET, "bytes", Measure.COUNT, "sent to one sidecar that was cut off, until it has caught up"),

    VIEW_JOIN(Sweep.VIEW, "ms", Measure.TIME, "all started together, until all see all"),
    VIEW_JOIN_BYTES(Sweep.VIEW, "bytes/s", Measure.COUNT, "sent by one member while that lasts"),
    VIEW_REST_BYTES(Sweep.VIEW, "bytes/s", Measure.COUNT, "sent by one member, settled"),
    VIEW_REST_MESSAGES(Sweep.VIEW, "messages/s", Measure.COUNT, "sent by one member, settled"),
    VIEW_REST_CPU(Sweep.VIEW, "% of a core", Measure.PROCESSOR, "one member, settled"),
    VIEW_HEAP(Sweep.VIEW, "bytes", Measure.COUNT, "heap of one member"),
    VIEW_ZONE_SETTLED(Sweep.VIEW, "ms", Measure.TIME, "a zone's members killed together, until all others see it"),
    VIEW_ZONE_BYTES(Sweep.VIEW, "bytes/s", Measure.COUNT, "sent by one member while that lasts");

    /** What is grown from point to point. */
    public enum Sweep {
        /** Entries of the list, for a few sidecars. */
        LIST,
        /** Sidecars that follow a list with as many entries. */
        FLEET,
        /** Members of the view of the fleet. */
        VIEW
    }

    /** What a busy machine does to it. */
    public enum Measure {
        /** Bytes, messages, state: nothing. */
        COUNT,
        /** Processor time: little, unless loops are so late that they do several things at once. */
        PROCESSOR,
        /** Time on the clock: it grows. */
        TIME
    }

    private final Sweep sweep;
    private final String unit;
    private final Measure measure;
    private final String meaning;

    Quantity(Sweep sweep, String unit, Measure measure, String meaning) {
        this.sweep = sweep;
        this.unit = unit;
        this.measure = measure;
        this.meaning = meaning;
    }

    public Sweep sweep() {
        return sweep;
    }

    public String unit() {
        return unit;
    }

    public Measure measure() {
        return measure;
    }

    public String meaning() {
        return meaning;
    }
}
