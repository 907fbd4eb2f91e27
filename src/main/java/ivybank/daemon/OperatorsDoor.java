package ivybank.daemon;

import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.control.Company;
import ivybank.control.ControlDoor;
import ivybank.control.Operated;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/** Opens the door for operators. A class of its own, so that a sidecar without one loads nothing of it. */
final class OperatorsDoor {

    private OperatorsDoor() {}

    /**
     * Lets the process that this one takes over from know of it, before anything else: to start takes half of the core that
     * both have, and that one must have made room by then. Null where there is no such process.
     */
    static Company join(Map<String, String> environment) throws IOException {
        Path folder = folder(environment);
        return folder == null
                        || environment.getOrDefault(Inherited.VARIABLE, "").isBlank()
                ? null
                : Company.join(folder);
    }

    /** Where the processes of a sidecar leave word for each other; null where there is no such place. */
    static Path folder(Map<String, String> environment) {
        String folder = environment.getOrDefault("TMPDIR", "");
        return folder.isBlank() ? null : Path.of(folder);
    }

    static void open(
            Operated sidecar,
            InetSocketAddress address,
            Map<String, String> environment,
            Company company,
            Clock clock,
            Log log)
            throws IOException {
        new ControlDoor(sidecar, folder(environment), company, clock, log).open(address);
    }
}
