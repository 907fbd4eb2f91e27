package ivybank.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.control.ControlDoor;
import ivybank.control.Operated;

/** Opens the door for operators. A class of its own, so that a sidecar without one loads nothing of it. */
final class OperatorsDoor {

    private OperatorsDoor() {
    }

    static void open(Operated sidecar, InetSocketAddress address, Map<String, String> environment, Clock clock, Log log)
            throws IOException {
        String folder = environment.getOrDefault("TMPDIR", "");
        new ControlDoor(sidecar, folder.isBlank() ? null : Path.of(folder), clock, log).open(address);
    }
}
