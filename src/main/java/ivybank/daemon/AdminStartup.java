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

/** Opens the admin endpoint. A class of its own, so that a sidecar without one loads none of its classes. */
final class AdminStartup {

    private AdminStartup() {}

    /**
     * Registers this process with the one that it takes over from, before anything else: starting takes half of the
     * core that both share, and the other process must have freed that capacity by then. Returns null where there is no
     * such process.
     */
    static SiblingProcesses register(Map<String, String> environment) throws IOException {
        Path sharedFolder = sharedFolder(environment);
        return sharedFolder == null
                        || environment
                                .getOrDefault(InheritedListener.VARIABLE, "")
                                .isBlank()
                ? null
                : SiblingProcesses.join(sharedFolder);
    }

    /**
     * Does the same as {@link #register}, but returns null where the folder cannot be written now: the admin endpoint
     * then registers as soon as it can.
     */
    static SiblingProcesses registerIfPossible(Map<String, String> environment) {
        try {
            return register(environment);
        } catch (IOException e) {
            System.err.println("cannot register with other processes of this sidecar yet, will retry: " + e);
            return null;
        }
    }

    /** Returns whether another process of this sidecar may be running: also where the folder cannot be read now. */
    static boolean mayHaveOthers(SiblingProcesses siblings) {
        try {
            return siblings != null && siblings.hasOthers();
        } catch (IOException e) {
            return true;
        }
    }

    /** Returns the folder shared by the processes of a sidecar, or null where there is none. */
    static Path sharedFolder(Map<String, String> environment) {
        String sharedFolder = environment.getOrDefault("TMPDIR", "");
        return sharedFolder.isBlank() ? null : Path.of(sharedFolder);
    }

    /** Opens the admin endpoint of the sidecar. */
    static void open(
            AdminTarget sidecar,
            InetSocketAddress address,
            Map<String, String> environment,
            SiblingProcesses siblings,
            Clock clock,
            Log log)
            throws IOException {
        new AdminEndpoint(sidecar, sharedFolder(environment), siblings, clock, log).open(address);
    }
}
