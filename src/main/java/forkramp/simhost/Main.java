package forkramp.simhost;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Arrays;

import forkramp.LoadShiftingBalancer;

/** {@code java -jar forkramp.jar simhost}: plays the simulator's wire on standard input and output. */
public final class Main {

    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: java -jar forkramp.jar simhost, not " + Arrays.toString(args));
            System.exit(2);
        }
        try (OutputStream out = new FileOutputStream(FileDescriptor.out)) {
            new SimHost(LoadShiftingBalancer::new, new FileInputStream(FileDescriptor.in), out).run();
        } catch (IOException e) {
            System.err.println("forkramp: " + e.getMessage());
            System.exit(1);
        }
    }
}
