package ivybank;

import ivybank.cli.Ivybank;
import ivybank.common.ProcessAge;
import ivybank.daemon.Sidecar;
import ivybank.simhost.SimHost;
import ivybank.toml.InputException;
import java.io.IOException;

/**
 * The two hosts of the decision module: {@code serve} is a real sidecar on sockets, {@code simhost} plays the
 * simulator's wire on standard input and output. All else is the command line's.
 */
public final class Main {

    private Main() {}

    /** The two hosts take a short cut past the command line: a restart has half a core. */
    public static void main(String[] args) {
        ProcessAge.sinceFirstLineMs();
        String host = args.length == 0 ? "" : args[0];
        boolean operator = args.length == 3 && host.equals("serve") && args[1].equals("--operator");
        try {
            if (host.equals("serve") && (args.length == 1 || operator)) {
                Sidecar.serve(System.getenv(), operator ? args[2] : System.getenv("EDGE_OPERATOR"));
            } else if (host.equals("simhost") && args.length == 1) {
                SimHost.runOnStandardStreams();
            } else {
                System.exit(Ivybank.run(args));
            }
        } catch (InputException e) {
            System.err.println("ivybank: " + e.getMessage());
            System.exit(2);
        } catch (IOException e) {
            System.err.println("ivybank: " + e.getMessage());
            System.exit(1);
        }
    }
}
