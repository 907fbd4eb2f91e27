package ivybank.fleet;

/** What a view has counted since its start; {@link ViewSnapshot.Counts} has the meaning of each. */
final class ViewCounters {

    long sent;
    long received;
    long replayed;
    long stale;
    long unknown;
    long forged;
    long declaredDead;
    long rejoins;

    ViewSnapshot.Counts snapshot() {
        return new ViewSnapshot.Counts(sent, received, replayed, stale, unknown, forged, declaredDead, rejoins);
    }
}
