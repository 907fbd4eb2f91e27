package ivybank.emulator;

/**
 * What happens to datagrams between sidecars.
 *
 * @param loss part that never comes
 * @param doubled part that comes twice
 * @param leastMs shortest way, and {@code mostMs} the longest: with a spread they overtake one another
 */
public record ViewNetwork(double loss, double doubled, double leastMs, double mostMs) {

    /** One site: a millisecond or so. */
    public static final ViewNetwork CALM = new ViewNetwork(0, 0, 0.3, 3);
}
