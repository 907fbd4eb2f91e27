package ivybank.emulator;

/**
 * What a model of a node is like. Times are in milliseconds, work in milliseconds of a core at speed 1.
 *
 * @param slots requests that it works on at once; more wait
 * @param queue that wait; more are turned away unseen
 * @param coldFrom the part of its capacity that it has at its start
 * @param coldMs after which it has all of it
 * @param handshakeWork what a new connection costs it
 * @param connections that it holds at most; more are refused
 * @param fullTax the part of its capacity that a full table of connections takes
 * @param chokeAt roots of its cores, by which what it holds must exceed them to overdrive it; 0 for never
 * @param chokeSlower how much slower it is then
 * @param chokeMs how long
 */
public record NodeSpec(
        int cores,
        double speed,
        int slots,
        int queue,
        double coldFrom,
        double coldMs,
        double handshakeWork,
        int connections,
        double fullTax,
        double chokeAt,
        double chokeSlower,
        double chokeMs) {

    /** A node of four cores that bears some 15 requests a second. */
    public static NodeSpec usual(double speed) {
        return new NodeSpec(4, speed, 48, 80, 0.25, 15_000, 42, 76, 0.26, 5.5, 2.8, 20_000);
    }
}
