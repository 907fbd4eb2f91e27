package ivybank.fleet;

/** A change of the view, for the log. */
public record Change(int seat, String name, long life, String what) {}
