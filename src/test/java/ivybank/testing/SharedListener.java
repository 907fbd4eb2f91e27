package ivybank.testing;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** A listening socket that a process of its own keeps, and hands to each program that it starts as standard input. */
public final class SharedListener implements AutoCloseable {

    /** Opens a listening socket, says its port, and becomes each program that it is told to with the socket as input. */
    private static final String PLATFORM =
            "use Socket; $SIG{CHLD} = q(IGNORE); $| = 1; socket(my $s, PF_INET, SOCK_STREAM, 0); bind($s, pack_sockaddr_in(0,"
                    + " INADDR_LOOPBACK)) or die; listen($s, 1024) or die; print((sockaddr_in(getsockname($s)))[0], qq(\\n));"
                    + " while (my $line = <STDIN>) { chomp $line; my $pid = fork();"
                    + " if (!$pid) { open(STDIN, q(<&), $s) or die; exec q(/bin/sh), q(-c), $line or die; } print qq($pid\\n); }"
                    + " kill q(KILL), $_ for @ARGV;";

    private final Process platform;
    private final BufferedReader says;
    private final int port;

    /** @param log takes what the process itself complains of */
    public SharedListener(Path log) throws IOException {
        platform = new ProcessBuilder("perl", "-e", PLATFORM)
                .redirectError(log.toFile())
                .start();
        says = new BufferedReader(new InputStreamReader(platform.getInputStream(), StandardCharsets.UTF_8));
        port = Integer.parseInt(says.readLine());
    }

    /** Where clients connect. */
    public int port() {
        return port;
    }

    /** Starts a command by /bin/sh and returns its process id; the caller ends it. */
    public long start(String command) throws IOException {
        platform.getOutputStream().write((command + "\n").getBytes(StandardCharsets.UTF_8));
        platform.getOutputStream().flush();
        return Long.parseLong(says.readLine());
    }

    @Override
    public void close() {
        platform.destroyForcibly();
    }
}
