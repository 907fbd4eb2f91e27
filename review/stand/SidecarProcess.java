import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process that was started by the command `run`. */
final class SidecarProcess {

    private final String name;
    private final Process process;
    private final Path log;
    private final Kit kit;

    SidecarProcess(String name, Process process, Path log, Kit kit) {
        this.name = name;
        this.process = process;
        this.log = log;
        this.kit = kit;
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Sends a signal, such as TERM, HUP or KILL. */
    void signal(String signal) throws IOException, InterruptedException {
        kit.note("signal " + signal + " to " + name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
    }

    boolean awaitEnd(long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    /** Waits until the sidecar answers that it is ready. */
    void awaitReady(int port, long ms) throws Exception {
        long until = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < until && isAlive()) {
            try (Client probe = new Client(port)) {
                if (probe.call(Client.get("/health/ready", "", 1000), 1000).status() == 200) {
                    kit.note(name + " is ready");
                    return;
                }
            } catch (IOException e) {
                // nobody listens yet
            }
            Thread.sleep(20);
        }
        noteLog(30);
        throw new IOException(name + " was not ready within " + ms + " ms");
    }

    /** Writes the last lines of the log to the record. */
    void noteLog(int lines) throws IOException {
        List<String> all = Files.readAllLines(log);
        all.subList(Math.max(0, all.size() - lines), all.size()).forEach(line -> kit.note("log of " + name + ": " + line));
    }

    void kill() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
