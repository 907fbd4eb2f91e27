import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What the cases share: stand-ins for discovery (an agent that pushes lists), nodes and clients, written from the pages of
 * protocol and deployment, and the start of a real sidecar by the command of the deploy file. All addresses are loopback
 * addresses. Everything of a case ends with {@link #end}.
 */
final class Stand {

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final String HOST = "127.0.0.1";
    private static final long T0 = System.nanoTime();

    private final PrintStream record;
    private final Path folder;
    private final Path root;
    private final List<AutoCloseable> open = new CopyOnWriteArrayList<>();
    private final List<Process> processes = new CopyOnWriteArrayList<>();

    /** @param caseFolder the folder of the case, two levels below the root of the repository */
    Stand(String caseFolder) throws IOException {
        Path here = Path.of(caseFolder).toAbsolutePath().normalize();
        root = here.getParent().getParent();
        record = new PrintStream(Files.newOutputStream(here.resolve("record.txt")), true, StandardCharsets.UTF_8);
        folder = Files.createTempDirectory("review-2-");
        Thread guard = new Thread(() -> {
            sleep(110_000);
            note("the case took too long");
            end();
            Runtime.getRuntime().halt(2);
        });
        guard.setDaemon(true);
        guard.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        note("disruption: " + TROUBLE);
    }

    /** The temporary folder of the case. */
    Path folder() {
        return folder;
    }

    /** The root of the repository. */
    Path root() {
        return root;
    }

    /** Milliseconds since the start of the case. */
    static double now() {
        return (System.nanoTime() - T0) / 1e6;
    }

    static void sleep(double ms) {
        try {
            TimeUnit.MICROSECONDS.sleep((long) (Math.max(0, ms) * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void sleepUntil(double atMs) {
        sleep(atMs - now());
    }

    void note(String line) {
        record.println(String.format(Locale.ROOT, "%10.1f  %s", now(), line));
    }

    /** Ends the case with its verdict: 0 held, 1 broken. */
    void verdict(List<String> broken) {
        broken.forEach(line -> note("BROKEN: " + line));
        note(broken.isEmpty() ? "verdict: the rule held" : "verdict: the rule was broken");
        System.out.println(broken.isEmpty() ? "held" : "broken: " + broken.get(0));
        end();
        Runtime.getRuntime().halt(broken.isEmpty() ? 0 : 1);
    }

    /** Ends a case that could not run. */
    void unable(String why) {
        note("could not run: " + why);
        System.out.println("could not run: " + why);
        end();
        Runtime.getRuntime().halt(2);
    }

    synchronized void end() {
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        for (AutoCloseable each : open) {
            try {
                each.close();
            } catch (Exception e) {
                note("not closed: " + e);
            }
        }
        open.clear();
        try (Stream<Path> files = Files.exists(folder) ? Files.walk(folder) : Stream.empty()) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | UncheckedIOException e) {
            note("not removed: " + e);
        }
    }

    static Thread run(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // a connection that has ended ends its thread
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Task {
        void run() throws Exception;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(HOST, 0));
            return socket.getLocalPort();
        }
    }

    // ---------------------------------------------------------------- messages

    /** A message of HTTP/1.1 as it came: its first line, its header fields by lower-case name, and its body. */
    record Message(String first, Map<String, String> fields, byte[] body, double headMs, double lastMs) {
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String id() {
            return fields.getOrDefault("x-call-id", "");
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        boolean closes() {
            return "close".equalsIgnoreCase(fields.getOrDefault("connection", ""));
        }
    }

    /** Reads a head; null at the end of the connection. */
    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            bytes.write(next);
            matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return text.toString().trim();
            }
            text.append((char) next);
        }
        throw new IOException("ended within a line");
    }

    /** Reads a message with a length or in chunks; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        String head = head(in);
        if (head == null) {
            return null;
        }
        double headMs = now();
        String[] lines = head.split("\r\n");
        Map<String, String> fields = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            fields.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).trim());
        }
        byte[] body;
        if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                all.write(in.readNBytes(size));
                line(in);
            }
            while (!line(in).isEmpty()) {
                // trailer fields are not used
            }
            body = all.toByteArray();
        } else {
            int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new IOException("ended within a body");
            }
        }
        return new Message(lines[0], fields, body, headMs, now());
    }

    static byte[] ok(String body) {
        return ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---------------------------------------------------------------- nodes

    /** How a node answers: called on the thread of the connection when the last byte of a request has come. */
    interface Work {
        /**
         * Returns what to write, or null to write nothing more on this connection and leave it open.
         *
         * @param out for what is to be written in pieces, before this returns
         */
        byte[] answer(Node node, Message request, OutputStream out) throws Exception;
    }

    /** A node. It keeps connections, begins a request with its last byte, and has each request that it began on record. */
    final class Node implements AutoCloseable {
        final String host;
        final int port;
        final String zone;
        volatile long bornMs;
        volatile String health = "Ready";
        volatile Work work;
        final Map<String, List<Double>> begun = new LinkedHashMap<>();
        private final ServerSocket server;
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();

        Node(String host, String zone, Work work) throws IOException {
            this(host, zone, freePort(), work);
        }

        Node(String host, String zone, int port, Work work) throws IOException {
            this.host = host;
            this.zone = zone;
            this.work = work;
            this.port = port;
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(HOST, port), 256);
            open.add(this);
            Stand.run(() -> {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    Stand.run(() -> serve(socket));
                }
            });
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
                for (Message request = read(in); request != null; request = read(in)) {
                    synchronized (begun) {
                        begun.computeIfAbsent(request.id(), id -> new ArrayList<>()).add(now());
                    }
                    note(host + " begins " + request.id());
                    byte[] answer = work.answer(this, request, socket.getOutputStream());
                    if (answer == null) {
                        sleep(600_000);
                    }
                    socket.getOutputStream().write(answer);
                }
            } finally {
                sockets.remove(socket);
            }
        }

        int runs(String id) {
            synchronized (begun) {
                return begun.getOrDefault(id, List.of()).size();
            }
        }

        String entry() {
            return "{\"host\":\"" + host + "\",\"dial\":\"" + HOST + ":" + port + "\",\"site\":\"" + zone
                    + "\",\"class\":\"nodo-medio\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":"
                    + bornMs + "}";
        }

        /** Ends the node as a process that dies: its connections are reset, new ones are refused. */
        @Override
        public void close() throws IOException {
            server.close();
            for (Socket socket : sockets) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    // it has ended already
                }
            }
        }
    }

    // ---------------------------------------------------------------- discovery

    /** The agent that lists are pushed to: it answers at once, and tells changes on open watches. */
    final class Agent implements AutoCloseable {
        final int port;
        private final ServerSocket server;
        private final List<Socket> watches = new CopyOnWriteArrayList<>();
        private final List<Node> nodes = new CopyOnWriteArrayList<>();
        private long seq = 41;

        Agent(List<Node> listed) throws IOException {
            nodes.addAll(listed);
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(HOST, 0), 64);
            port = server.getLocalPort();
            open.add(this);
            Stand.run(() -> {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Stand.run(() -> serve(socket));
                }
            });
        }

        private void serve(Socket socket) throws Exception {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            for (Message request = read(in); request != null; request = read(in)) {
                OutputStream out = socket.getOutputStream();
                if (!request.first().contains("stream=1")) {
                    synchronized (this) {
                        out.write(ok(whole()));
                    }
                    continue;
                }
                long from = Long.parseLong(request.first().replaceAll(".*index=(\\d+).*", "$1"));
                synchronized (this) {
                    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    out.write(chunk(from == seq ? "" : whole()));
                    watches.add(socket);
                }
                while (true) {
                    sleep(2000);
                    synchronized (this) {
                        out.write(chunk(""));
                    }
                }
            }
        }

        private byte[] chunk(String line) {
            return (Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n").getBytes(StandardCharsets.US_ASCII);
        }

        synchronized String whole() {
            return list(true, nodes);
        }

        private String list(boolean whole, List<Node> entries) {
            return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":["
                    + entries.stream().map(Node::entry).collect(Collectors.joining(",")) + "]}";
        }

        /** Tells that these nodes have changed; a node that is new is listed from now on, one that is gone no longer. */
        synchronized void changed(Node... changed) {
            seq++;
            for (Node node : changed) {
                nodes.remove(node);
                if (!node.health.equals("Gone")) {
                    nodes.add(node);
                }
            }
            String line = list(false, List.of(changed));
            note("discovery tells " + line);
            for (Socket watch : watches) {
                try {
                    watch.getOutputStream().write(chunk(line));
                } catch (IOException e) {
                    watches.remove(watch);
                }
            }
        }

        /** Lists a node no longer, and ends the open watches instead of telling. */
        synchronized void leaveOut(Node node) throws IOException {
            seq++;
            nodes.remove(node);
            note("discovery at " + port + " leaves out " + node.host + " from version " + seq + " on, and ends its watches");
            closeWatches();
        }

        private void closeWatches() throws IOException {
            for (Socket watch : watches) {
                watch.close();
            }
            watches.clear();
        }

        @Override
        public void close() throws IOException {
            server.close();
            closeWatches();
        }
    }

    // ---------------------------------------------------------------- the sidecar

    /** A class of requests: name, effect in the settings' words, aim and deadline in ms. */
    record Lane(String name, String effect, String group, double aimMs, double deadlineMs, double windowMs, double worth) {
        String json() {
            return "{\"name\":\"" + name + "\",\"idempotency\":\"" + effect + "\",\"group\":\"" + group + "\",\"aimMs\":"
                    + aimMs + ",\"hardLimitMs\":" + deadlineMs + ",\"windowMs\":" + windowMs + ",\"worth\":" + worth
                    + ",\"lateWorth\":0.0,\"streaming\":false}";
        }
    }

    /** The classes of the deployment, as its settings have them. */
    static final List<Lane> LANES = List.of(
            new Lane("window-read", "retryable", "all", 1500, 6000, 5000, 3),
            new Lane("status-read", "retryable", "all", 1500, 6000, 5000, 1),
            new Lane("event-submit", "fragile", "all", 1500, 6000, 5000, 10),
            new Lane("alert-ack", "fragile", "all", 2000, 6000, 5000, 5));

    static String settings(List<Lane> lanes) {
        return "{\"charges\":{\"connection\":0.05,\"crossZone\":0.01,\"handshake\":0.05,\"lateFail\":0.03,\"probe\":0.0,"
                + "\"waste\":0.15},\"clients\":{\"marksRetry\":false},\"contract\":{\"answerSlackMs\":20.0,\"askEveryMs\":10000.0,"
                + "\"coldFrom\":0.12,\"coldMs\":22000.0,\"drainGraceMs\":500.0,\"fallMs\":2000.0,\"overloadFactor\":2.5},"
                + "\"failureDomains\":[\"sanjuan-norte\",\"sanjuan-sur\",\"sanluis\",\"malargue\"],\"family\":\"mesh\","
                + "\"instances\":3,\"kinds\":[\"nodo-rapido\",\"nodo-medio\",\"nodo-lento\"],\"lanes\":["
                + lanes.stream().map(Lane::json).collect(Collectors.joining(","))
                + "],\"limits\":{\"cancel\":true,\"connIdleMs\":60000.0,\"connectTimeoutMs\":250.0,\"maxAttempts\":6,"
                + "\"maxRetryAfterMs\":2000.0,\"peers\":false,\"probing\":false,\"retryAfter\":true,\"secondCopies\":true},"
                + "\"membershipMode\":\"push\",\"myZone\":2,\"overShareWorth\":0.1,\"position\":0,"
                + "\"report\":{\"fields\":[\"rps\",\"cpu\",\"err_rps\"],\"via\":\"inline\"},\"scoringMix\":{\"whole\":0.55,"
                + "\"worstClass\":0.3,\"worstTenant\":0.0,\"worstWindow\":0.15},\"tenants\":[],\"tickMs\":5.0,\"tier\":0,"
                + "\"tiers\":[\"acelero-api\"],\"weights\":\"off\",\"worthBy\":\"request\"}";
    }

    /** A real sidecar, started by the command of the deploy file. */
    final class Sidecar {
        final int port;
        int control;
        /** Whether the clients' listening socket is this process's standard input, which each process of the sidecar inherits. */
        private final boolean held = System.getenv("HELD_PORT") != null;

        final Map<String, String> environment = new LinkedHashMap<>();
        private final Path temporary;
        private final Path config;
        private String configText;
        private Agent agent;
        Process process;
        int starts;

        Sidecar(Agent agent, List<Lane> lanes) throws IOException {
            this(agent, lanes, 1024);
        }

        Sidecar(Agent agent, List<Lane> lanes, int descriptors) throws IOException {
            this.agent = agent;
            port = held ? Integer.parseInt(System.getenv("HELD_PORT")) : freePort();
            control = freePort();
            temporary = Files.createDirectory(folder.resolve("tmp-" + port));
            config = folder.resolve("config-" + port + ".json");
            configText = "{\"name\":\"n0\",\"listen\":\"" + address(port) + "\",\"discovery\":\"" + address(agent.port)
                    + "\",\"control\":\"" + address(control) + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                    + "\"memory_mb\":192,\"sockets\":" + descriptors + "},\"known\":" + agent.whole() + ",\"settings\":" + settings(lanes) + "}";
            Files.writeString(config, configText);
            environment.put("EDGE_NAME", "n0");
            environment.put("EDGE_LISTEN", address(port));
            environment.put("EDGE_DISCOVERY", address(agent.port));
            environment.put("EDGE_CONTROL", address(control));
            environment.put("EDGE_CONFIG", config.toString());
            environment.put("TMPDIR", temporary.toString());
            if (held) {
                environment.put("EDGE_INHERITED_FD", "0");
            }
        }

        /** Starts the process, and returns when it is ready. */
        void start() throws IOException {
            if (!startWithin(30_000)) {
                note(log());
                unable("the sidecar did not become ready");
            }
        }

        /** Starts a process, and returns whether it is ready within this time. */
        private boolean startWithin(double ms) throws IOException {
            String command = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                    .findFirst()
                    .orElseThrow();
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).directory(root.toFile());
            builder.environment().putAll(environment);
            if (held) {
                builder.redirectInput(ProcessBuilder.Redirect.INHERIT);
            }
            builder.redirectErrorStream(true).redirectOutput(folder.resolve("log-" + port + "-" + starts++ + ".txt").toFile());
            process = builder.start();
            processes.add(process);
            note("a sidecar starts as process " + process.pid());
            double until = now() + ms;
            while (!ready()) {
                if (now() > until || !process.isAlive()) {
                    return false;
                }
                sleep(50);
            }
            note("the sidecar is ready");
            return true;
        }

        /**
         * Starts a second process on the same addresses but for the operators' one, and gives it 6 s to say yes.
         *
         * @return whether it did
         */
        boolean upgrade() throws IOException {
            control = freePort();
            environment.put("EDGE_CONTROL", address(control));
            return startWithin(6000);
        }

        String log() throws IOException {
            return Files.readString(folder.resolve("log-" + port + "-" + (starts - 1) + ".txt"));
        }

        /** Returns whether the process that was started last says yes: a shared socket may be another one's. */
        private boolean ready() {
            try (Client client = new Client(held ? control : port)) {
                client.send("GET " + (held ? "/status" : "/health/ready") + " HTTP/1.1\r\nHost: api.internal\r\n\r\n");
                Message answer = client.answer(2000);
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void signal(String name) throws IOException, InterruptedException {
            note("signal " + name);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        /** Replaces the file of the configuration by one that names another agent, and sends SIGHUP. */
        void moveDiscovery(Agent next) throws IOException, InterruptedException {
            configText = configText.replace("\"discovery\":\"" + address(agent.port), "\"discovery\":\"" + address(next.port));
            agent = next;
            Path file = config.resolveSibling("next.json");
            Files.writeString(file, configText);
            Files.move(file, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            note("the configuration names discovery at " + next.port);
            signal("HUP");
        }

        /** An operator's call; returns the status. */
        int operator(String path, String body) throws IOException {
            try (Client client = new Client(control)) {
                client.send("PUT " + path + " HTTP/1.1\r\nHost: control\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                Message answer = client.answer(2000);
                note("operator: " + path + " " + body + ": " + (answer == null ? "no answer" : answer.status()));
                return answer == null ? 0 : answer.status();
            }
        }
    }

    static String address(int port) {
        return HOST + ":" + port;
    }

    // ---------------------------------------------------------------- clients

    /** One connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress(InetAddress.getByName(HOST), port), 2000);
            socket.setTcpNoDelay(true);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Returns the next answer, or null if the connection ends or none comes within this time. */
        Message answer(int withinMs) throws IOException {
            socket.setSoTimeout(withinMs);
            try {
                return read(in);
            } catch (java.net.SocketTimeoutException e) {
                return null;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String post(String lane, String id, int budgetMs, String body) {
        return "POST /" + lane + "?obj=7f3a9c21 HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: "
                + budgetMs + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String get(String lane, String id, int budgetMs) {
        return "GET /" + lane + "?obj=7f3a9c21 HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: "
                + budgetMs + "\r\n\r\n";
    }
}
