package ivybank.scale.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ivybank.common.Json;
import ivybank.scale.worker.Worker;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;

/** A {@link Worker} in a process of its own, by its commands and answers. Used by one thread. */
public final class WorkerProcess implements AutoCloseable {

    private final GuardedProcess guarded;
    private final BufferedWriter commands;
    private final BufferedReader answers;

    private WorkerProcess(GuardedProcess guarded) {
        this.guarded = guarded;
        this.commands = guarded.process().outputWriter();
        this.answers = guarded.process().inputReader();
    }

    /**
     * Starts one.
     *
     * @param heapMb the most heap that it may have
     * @param log takes what it says beside its answers
     */
    public static WorkerProcess start(Worker.Kind kind, int heapMb, Path log) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        // The runtime's options of a deployed sidecar, so that processor time means the same.
        String command = "exec '" + java + "' -XX:-UsePerfData -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx" + heapMb
                + "m -cp '" + System.getProperty("java.class.path") + "' ivybank.Main scale worker "
                + kind.name().toLowerCase(Locale.ROOT);
        return new WorkerProcess(GuardedProcess.start(command, Path.of("").toAbsolutePath(), Map.of(), log, false));
    }

    /** A command of this name, to be completed and called. */
    public static ObjectNode command(String name) {
        return Json.MAPPER.createObjectNode().put("command", name);
    }

    /** Sends a command and waits for its answer. */
    public JsonNode call(ObjectNode command) throws IOException {
        send(command);
        return answer();
    }

    /** Sends a command; the answer is fetched by {@link #answer}. */
    public void send(ObjectNode command) throws IOException {
        commands.write(command.toString());
        commands.newLine();
        commands.flush();
    }

    /**
     * Waits for the answer to the oldest command that has none yet.
     *
     * @throws IOException if the worker has ended, or can't do what it was told
     */
    public JsonNode answer() throws IOException {
        String line = answers.readLine();
        if (line == null) {
            throw new IOException("a worker process has ended");
        }
        JsonNode answer = Json.MAPPER.readTree(line);
        if (answer.has("error")) {
            throw new IOException("a worker process: " + answer.path("error").asText());
        }
        return answer;
    }

    /** Resident memory in MB. */
    public double residentMb() {
        return guarded.residentMb();
    }

    /** Stops it as SIGSTOP does, or lets it go on. */
    public void stopped(boolean on) throws IOException, InterruptedException {
        guarded.signal(on ? "STOP" : "CONT");
    }

    /** Kills it. */
    @Override
    public void close() {
        guarded.close();
    }
}
