package ivybank.store;

import java.util.Arrays;

/** The key of a record: 1 to 65,535 bytes, compared by content. */
final class Key {

    private final byte[] bytes;
    private final int hash;

    Key(byte[] bytes) {
        this.bytes = bytes;
        this.hash = Arrays.hashCode(bytes);
    }

    byte[] bytes() {
        return bytes;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Key key && Arrays.equals(bytes, key.bytes);
    }

    @Override
    public int hashCode() {
        return hash;
    }
}
