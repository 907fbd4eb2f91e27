package ivybank.fleet;

/**
 * A change of a view, for the log.
 *
 * @param memberIndex index of the member that the change concerns
 * @param what the rest of a sentence whose subject is the member
 */
public record MembershipEvent(int memberIndex, String name, long incarnation, String what) {}
