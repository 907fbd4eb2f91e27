package ivybank.peers;

import ivybank.fleet.MessageCodec;
import java.nio.file.Path;
import java.util.List;

/**
 * What the operator file says of the other sidecars.
 *
 * @param keys file with the fleet's keys
 * @param fleet its name: datagrams of another one are passed over
 * @param zone told to the others; empty for none
 * @param listen empty: as the platform's configuration says
 * @param addresses one for each sidecar, in the same order at all; empty: as the platform's configuration says
 * @param incarnationFile file that keeps this sidecar's life over a restart; null for none
 */
public record PeerSettings(
        Path keys, String fleet, String zone, String listen, List<String> addresses, Path incarnationFile) {

    /** The longest zone that can be told to the others. */
    public static final int MAX_ZONE_LENGTH = MessageCodec.MAX_ZONE_LENGTH;

    /** Whether a zone can be told to the others. */
    public static boolean isValidZone(String zone) {
        return MessageCodec.isPrintable(zone, MAX_ZONE_LENGTH);
    }

    public PeerSettings {
        addresses = List.copyOf(addresses);
    }
}
