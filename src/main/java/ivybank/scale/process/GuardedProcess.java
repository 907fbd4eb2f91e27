package ivybank.scale.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * A process that ends with this one. A second, tiny process kills it as soon as this one is gone: it waits for the end of a pipe that
 * only this one holds open, so that also a process that is stopped, or does not read, never stays behind.
 */
final class GuardedProcess implements AutoCloseable {

    private static final double KB_IN_MB = 1024;
    private static final double MS_IN_TICK = 10; // of /proc/PID/stat, on every Linux of today
    private static final int USER_TIME = 11; // field of /proc/PID/stat, counted after the command's name
    private static final int SYSTEM_TIME = 12;

    private final Process process;
    private final Process guard;

    private GuardedProcess(Process process, Process guard) {
        this.process = process;
        this.guard = guard;
    }

    /**
     * Starts a shell's command, which should begin with exec.
     *
     * @param environment what it gets beside this process's own
     * @param log takes its standard error, and its standard output if {@code outputToLog}
     */
    static GuardedProcess start(
            String command, Path folder, Map<String, String> environment, Path log, boolean outputToLog)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command)
                .directory(folder.toFile())
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
        if (outputToLog) {
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        }
        builder.environment().putAll(environment);
        Process process = builder.start();
        String watch = "trap '' HUP INT TERM; read line; kill -9 " + process.pid();
        return new GuardedProcess(process, new ProcessBuilder("/bin/sh", "-c", watch).start());
    }

    Process process() {
        return process;
    }

    /** Sends a signal by its name. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                .start()
                .waitFor();
    }

    /** Resident memory in MB; 0 where it has ended. */
    double residentMb() {
        try {
            for (String line : Files.readAllLines(proc("status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Double.parseDouble(line.replaceAll("[^0-9]", "")) / KB_IN_MB;
                }
            }
        } catch (IOException e) {
            return 0; // it has ended
        }
        return 0;
    }

    /** Processor time so far in ms, user and system; 0 where it has ended. */
    double cpuMs() {
        try {
            String stat = Files.readString(proc("stat"), StandardCharsets.US_ASCII);
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return MS_IN_TICK * (Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME]));
        } catch (IOException e) {
            return 0; // it has ended
        }
    }

    private Path proc(String file) {
        return Path.of("/proc", String.valueOf(process.pid()), file);
    }

    /** Kills it and waits until it is gone. */
    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
        guard.destroyForcibly();
    }
}
