package ivybank;

import java.io.IOException;

import ivybank.cli.Ivybank;
import ivybank.daemon.Sidecar;
import ivybank.simhost.SimHost;

/**
 * The two hosts of the decision module: {@code serve} is a real sidecar on sockets, {@code simhost} plays the
 * simulator's wire on standard input and output. All else is the command line's.
 */
public final class Main {

    private Main() {
    }

    /** The two hosts take a short cut past the command line: a restart has half a core. */
    public static void main(String[] args) {
        String host = args.length == 1 ? args[0] : "";
        try {
            switch (host) {
                case "serve" -> Sidecar.serve(System.getenv());
                case "simhost" -> SimHost.runOnStandardStreams();
                default -> System.exit(Ivybank.run(args));
            }
        } catch (IOException e) {
            System.err.println("ivybank: " + e.getMessage());
            System.exit(1);
        }
    }
}
