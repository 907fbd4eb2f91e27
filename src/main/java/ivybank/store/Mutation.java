package ivybank.store;

/** A write of a value to a key, or the deletion of the key if the value is null. */
record Mutation(Key key, byte[] value) {

    private static final byte[] NO_BYTES = {};

    boolean isDeletion() {
        return value == null;
    }

    byte[] valueBytes() {
        return value == null ? NO_BYTES : value;
    }

    int encodedBytes() {
        return Records.encodedBytes(key.bytes(), valueBytes());
    }
}
