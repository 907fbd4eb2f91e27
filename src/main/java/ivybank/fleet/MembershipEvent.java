package ivybank.fleet;

/** A change of the view, for the log. */
public record MembershipEvent(int memberIndex, String name, long incarnation, String what) {}
