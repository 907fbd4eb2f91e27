package ivybank.store;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/** Maps each key to the location of its current record, and counts the live bytes of each segment. */
final class Index {

    /** The position of a record. */
    record Location(Segment segment, int offset, int length) {}

    private final Map<Key, Location> locations = new HashMap<>();

    Location get(Key key) {
        return locations.get(key);
    }

    int size() {
        return locations.size();
    }

    void forEach(BiConsumer<Key, Location> each) {
        locations.forEach(each);
    }

    void put(Key key, Location location) {
        location.segment.liveBytes += location.length;
        markDead(locations.put(key, location));
    }

    /** Removes a key whose deletion was written to the segment. */
    void delete(Key key, Segment segment, int length) {
        segment.deletionBytes += length;
        markDead(locations.remove(key));
    }

    /** Changes the location of a key, provided that the old one is still current. */
    void move(Key key, Location old, Location updated) {
        if (locations.replace(key, old, updated)) {
            updated.segment.liveBytes += updated.length;
            markDead(old);
        }
    }

    private static void markDead(Location location) {
        if (location != null) {
            location.segment.liveBytes -= location.length;
        }
    }
}
