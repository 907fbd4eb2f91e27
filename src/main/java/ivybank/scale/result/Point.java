package ivybank.scale.result;

/**
 * One measured value.
 *
 * @param leftOut why it does not count, in words; empty where it does
 */
public record Point(Quantity quantity, int size, long seed, double value, String leftOut) {

    public boolean counts() {
        return leftOut.isEmpty();
    }
}
