package ivybank;

import ivybank.cli.Ivybank;
import ivybank.common.ProcessAge;
import ivybank.daemon.Sidecar;
import ivybank.simhost.SimHost;
import ivybank.toml.InputException;
import java.io.IOException;

/**
 * The entry point. {@code serve} runs a sidecar on sockets and {@code simhost} runs the decision module on the
 * simulator's protocol over standard input and output; everything else goes to the command line interface.
 */
public final class Main {

    private Main() {}

    /**
     * Starts a host or the command line interface. Both hosts bypass the command line parser, because a restarting
     * sidecar has only half a core.
     */
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
