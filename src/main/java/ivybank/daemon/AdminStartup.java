package ivybank.daemon;

import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.control.AdminEndpoint;
import ivybank.control.AdminTarget;
import ivybank.control.SiblingProcesses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/** Opens the door for operators. A class of its own, so that a sidecar without one loads nothing of it. */
final class AdminStartup {

    private AdminStartup() {}

    /**
     * Lets the process that this one takes over from know of it, before anything else: to start takes half of the core that
     * both have, and that one must have made room by then. Null where there is no such process.
     */
    static SiblingProcesses join(Map<String, String> environment) throws IOException {
        Path folder = folder(environment);
        return folder == null
                        || environment
                                .getOrDefault(InheritedListener.VARIABLE, "")
                                .isBlank()
                ? null
                : SiblingProcesses.join(folder);
    }

    /** The same, or null where the folder can't be written now: the admin endpoint joins as soon as it can. */
    static SiblingProcesses joinIfPossible(Map<String, String> environment) {
        try {
            return join(environment);
        } catch (IOException e) {
            System.err.println("other processes of this sidecar are looked for later: " + e);
            return null;
        }
    }

    /** Where the processes of a sidecar leave word for each other; null where there is no such place. */
    static Path folder(Map<String, String> environment) {
        String folder = environment.getOrDefault("TMPDIR", "");
        return folder.isBlank() ? null : Path.of(folder);
    }

    static void open(
            AdminTarget sidecar,
            InetSocketAddress address,
            Map<String, String> environment,
            SiblingProcesses company,
            Clock clock,
            Log log)
            throws IOException {
        new AdminEndpoint(sidecar, folder(environment), company, clock, log).open(address);
    }
}
