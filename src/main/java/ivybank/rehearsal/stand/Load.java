package ivybank.rehearsal.stand;

/** What a call takes: work of a yardstick core and time on others, both in ms, as its first try was drawn. */
public record Load(double workMs, double waitMs) {}
