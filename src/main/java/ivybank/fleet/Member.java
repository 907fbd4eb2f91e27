package ivybank.fleet;

import java.util.HashSet;
import java.util.Set;

/** What is known of one seat. Kept as long as the process runs, so that no life falls. */
final class Member {

    final int seat;
    String name = "";
    String zone = "";
    long life; // 0: nobody was ever known here
    int turn;
    Standing standing = Standing.GONE;
    Suspicion suspicion;
    /** The life up to which it has been given up or has left. */
    long endedLife;

    double endedMs = Double.NEGATIVE_INFINITY;
    double heardMs = Double.NEGATIVE_INFINITY; // by a datagram of its own
    double correctedMs = Double.NEGATIVE_INFINITY;
    /** Who brought the last news of it: the way to it where the direct one is cut. */
    int by = -1;

    int sent; // datagrams to it
    final ReplayWindow window = new ReplayWindow();
    /** Who has accused it itself, in this turn: to be blamed if it lives. */
    final Set<Integer> firstHand = new HashSet<>();

    Member(int seat) {
        this.seat = seat;
    }

    boolean lives() {
        return life > 0 && standing.lives();
    }

    /** What it says of itself, as far as it is known here. */
    Word statement() {
        return new Word(Word.Kind.STATEMENT, seat, life, turn, standing, name, zone, -1);
    }
}
