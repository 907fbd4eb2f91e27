import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What all cases share: the record, a temporary folder, free ports, and the processes that a case starts. A case ends
 * with 0 (the rule held), 1 (it was broken) or 2 (the case could not run); all processes are ended before.
 */
final class Kit implements AutoCloseable {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** What a case does; returns its exit code. */
    interface Case {
        int run(Kit kit) throws Exception;
    }

    /** Whether the case has its disruption; without it, the rule has to hold. */
    final boolean trouble;

    final Path root;
    final Path folder;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<SidecarProcess> processes = new ArrayList<>();

    private Kit(Path root, Path caseFolder, boolean trouble) throws IOException {
        this.root = root;
        this.trouble = trouble;
        this.folder = Files.createTempDirectory("review");
        this.record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
    }

    /**
     * Runs a case and ends this process with its exit code.
     *
     * @param arguments the repository's folder, the case's folder, and the value of TROUBLE: 0 for no disruption
     */
    static void main(String[] arguments, Case body) throws IOException {
        int code = NOT_RUN;
        Kit kit = new Kit(
                Path.of(arguments[0]).toAbsolutePath(),
                Path.of(arguments[1]).toAbsolutePath(),
                !"0".equals(arguments[2]));
        kit.note(kit.trouble ? "with the disruption" : "TROUBLE=0: without the disruption");
        Thread ender = new Thread(kit::close);
        Runtime.getRuntime().addShutdownHook(ender);
        try {
            code = body.run(kit);
        } catch (Exception e) {
            kit.note("the case could not run: " + e);
            e.printStackTrace();
        }
        kit.note("exit code " + code);
        System.exit(code);
    }

    /** Milliseconds since the start of the case. */
    double nowMs() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Writes a line to the record, with the time since the start. */
    synchronized void note(String line) {
        record.printf(Locale.ROOT, "%9.1f ms  %s%n", nowMs(), line);
        record.flush();
    }

    /** Writes a line to the record and to standard output. */
    void say(String line) {
        note(line);
        System.out.println(line);
    }

    void sleepUntil(double ms) throws InterruptedException {
        long left = (long) Math.ceil(ms - nowMs());
        if (left > 0) {
            Thread.sleep(left);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return probe.getLocalPort();
        }
    }

    /** Returns the command of this name in the deploy file. */
    String command(String name) throws IOException {
        Matcher found = Pattern.compile("(?m)^" + name + " = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!found.find()) {
            throw new IOException("the deploy file has no command " + name);
        }
        return found.group(1);
    }

    /** Starts the command `run` of the deploy file with this environment; its log goes to a file in the folder. */
    SidecarProcess start(String name, Map<String, String> environment) throws IOException {
        Path log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command("run"))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().keySet().removeIf(key -> key.startsWith("EDGE_"));
        builder.environment().putAll(environment);
        SidecarProcess started = new SidecarProcess(name, builder.start(), log, this);
        processes.add(started);
        note("started " + name + ", process " + started.pid());
        return started;
    }

    @Override
    public synchronized void close() {
        processes.forEach(SidecarProcess::kill);
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            // the folder is a temporary one
        }
    }
}
