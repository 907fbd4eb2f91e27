package ivybank.store;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/** Where the record is that each key stands for; keeps count of what lives in each segment. */
final class Index {

    /** The place of a record. */
    record Place(Segment segment, int at, int length) {}

    private final Map<Key, Place> places = new HashMap<>();

    Place get(Key key) {
        return places.get(key);
    }

    int size() {
        return places.size();
    }

    void forEach(BiConsumer<Key, Place> each) {
        places.forEach(each);
    }

    void put(Key key, Place place) {
        place.segment.live += place.length;
        died(places.put(key, place));
    }

    /** A deletion stands at a place. */
    void delete(Key key, Segment segment, int length) {
        segment.deletions += length;
        died(places.remove(key));
    }

    /** Moves a key that still stands for the old place. */
    void move(Key key, Place old, Place next) {
        if (places.replace(key, old, next)) {
            next.segment.live += next.length;
            died(old);
        }
    }

    private static void died(Place place) {
        if (place != null) {
            place.segment.live -= place.length;
        }
    }
}
