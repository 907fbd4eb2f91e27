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
 * @param lives file that keeps this sidecar's life over a restart; null for none
 */
public record PeerSettings(Path keys, String fleet, String zone, String listen, List<String> addresses, Path lives) {

    /** The longest zone that can be told to the others. */
    public static final int LONGEST_ZONE = MessageCodec.LONGEST_ZONE;

    /** Whether a zone can be told to the others. */
    public static boolean canTell(String zone) {
        return MessageCodec.carries(zone, LONGEST_ZONE);
    }

    public PeerSettings {
        addresses = List.copyOf(addresses);
    }
}
