package ivybank.store;

/** One change: a value for a key, or its deletion where the value is null. */
record Op(Key key, byte[] value) {

    private static final byte[] NOTHING = {};

    boolean isDeletion() {
        return value == null;
    }

    byte[] bytes() {
        return value == null ? NOTHING : value;
    }

    int size() {
        return Records.size(key.bytes(), bytes());
    }
}
