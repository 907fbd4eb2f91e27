package ivybank.scale.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.OperatingSystemMXBean;
import io.netty.channel.EventLoop;
import ivybank.common.Json;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryType;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A process of the scale run: reads commands from standard input, one JSON object a line, and answers each with one line on standard
 * output. It ends with its input, so that it never outlives the run that started it.
 */
public final class Worker {

    /** What a worker can be. */
    public enum Kind {
        /** The stand-in discovery server, a control machine's role. */
        DISCOVERY,
        /** Hollow sidecars that follow a list. */
        SIDECARS,
        /** Hollow sidecars that keep a view of one another. */
        VIEWS
    }

    private static final double NANOS_IN_MS = 1e6;
    private static final int MOST_COLLECTIONS = 10;
    /** Collections go on until one leaves about as much as the one before it. */
    private static final double SAME_PART = 0.005;
    /** Between collections: references that one has cleared are handled by a thread of the runtime before the next. */
    private static final long COLLECTION_PAUSE_MS = 50;

    private final WorkerRole role;
    private final Lateness lateness;

    private Worker(WorkerRole role) {
        this.role = role;
        this.lateness = new Lateness(role.loop());
    }

    /** Runs until standard input ends. */
    public static void run(Kind kind) throws IOException {
        PrintStream answers = System.out;
        System.setOut(System.err); // whatever else prints must not be taken for an answer
        WorkerRole role = switch (kind) {
            case DISCOVERY -> new DiscoveryRole();
            case SIDECARS -> new SidecarsRole();
            case VIEWS -> new ViewsRole();
        };
        new Worker(role).serve(answers);
    }

    private void serve(PrintStream answers) throws IOException {
        role.loop().execute(lateness::start);
        BufferedReader commands = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = commands.readLine(); line != null; line = commands.readLine()) {
            answers.println(answer(line));
            answers.flush();
        }
    }

    private String answer(String line) {
        try {
            JsonNode command = Json.MAPPER.readTree(line);
            boolean common = command.path("command").asText().equals("usage");
            return (common ? usage(command.path("collect").asBoolean()) : role.execute(command)).toString();
        } catch (Exception e) {
            return Json.MAPPER.createObjectNode().put("error", e.toString()).toString();
        }
    }

    /** What this process has used so far; with {@code collect} the heap is what is left after a garbage collection. */
    private ObjectNode usage(boolean collect) throws Exception {
        if (collect) {
            collectGarbage();
        }
        OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        AtomicReference<ObjectNode> late = new AtomicReference<>();
        EventLoop loop = role.loop();
        loop.submit(() -> late.set(lateness.takeSummary())).sync();
        ObjectNode usage = late.get();
        usage.put("at_ms", MonotonicTime.nowMs());
        usage.put("cpu_ms", system.getProcessCpuTime() / NANOS_IN_MS);
        usage.put("heap_bytes", collect ? liveBytes() : heapBytes());
        usage.put("allocated_bytes", allocatedBytes());
        return usage;
    }

    private static void collectGarbage() throws InterruptedException {
        double before = Double.POSITIVE_INFINITY;
        for (int i = 0; i < MOST_COLLECTIONS && before - liveBytes() > SAME_PART * liveBytes(); i++) {
            before = i == 0 ? Double.POSITIVE_INFINITY : liveBytes();
            System.gc();
            Thread.sleep(COLLECTION_PAUSE_MS);
        }
    }

    /**
     * What the last garbage collection has left. The heap in use at a later moment counts whole buffers of threads that have
     * allocated since, half a megabyte or more each ({@code -XX:TLABSize}).
     */
    private static long liveBytes() {
        return ManagementFactory.getMemoryPoolMXBeans().stream()
                .filter(pool -> pool.getType() == MemoryType.HEAP && pool.getCollectionUsage() != null)
                .mapToLong(pool -> pool.getCollectionUsage().getUsed())
                .sum();
    }

    private static long heapBytes() {
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** By all threads that live. */
    private static long allocatedBytes() {
        com.sun.management.ThreadMXBean threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (long bytes : threads.getThreadAllocatedBytes(threads.getAllThreadIds())) {
            sum += Math.max(0, bytes);
        }
        return sum;
    }
}
