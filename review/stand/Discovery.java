import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The agent of discovery on the sidecar's machine, for lists that are pushed: answers at once with what it has, and its
 * watches tell changes and send an empty line every 2 s.
 */
final class Discovery implements AutoCloseable {

    final int port;
    private final ServerSocket listener;
    private final String name;
    private final Kit kit;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<Socket> watches = new ArrayList<>();
    private int version;
    /** When a whole list of the present version was last written to the sidecar, or NaN. */
    private double wholeToldMs = Double.NaN;

    Discovery(Kit kit, String name, int version) throws IOException {
        this.kit = kit;
        this.name = name;
        this.version = version;
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        port = listener.getLocalPort();
        start(this::accept);
        start(this::sendEmptyLines);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    synchronized void add(String host, int port) {
        entries.put(host, entry(host, port, "Ready"));
    }

    static String entry(Node node, String health) {
        return entry(node.name, node.port, health);
    }

    static String entry(String host, int port, String health) {
        return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + port
                + "\",\"site\":\"a\",\"class\":\"m\",\"block\":0,\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":0}";
    }

    /** Adds a node to the list without telling it as a change. */
    synchronized void add(Node node, String health) {
        entries.put(node.name, entry(node, health));
    }

    /** The whole list. */
    synchronized String whole() {
        return list(true, String.join(",", entries.values()));
    }

    private String list(boolean whole, String hosts) {
        return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}\n";
    }

    /** Changes a node, and tells that on all watches. */
    synchronized void change(Node node, String health) {
        entries.put(node.name, entry(node, health));
        version++;
        String line = list(false, entries.get(node.name));
        kit.note("discovery " + name + " tells: " + line.trim());
        watches.forEach(watch -> write(watch, line));
    }

    /** Takes a node from the list and ends all watches instead of telling that: the next whole list leaves it out. */
    synchronized void leaveOut(Node node) {
        entries.remove(node.name);
        version++;
        wholeToldMs = Double.NaN;
        kit.note("discovery " + name + " leaves out " + node.name + " from version " + version + " on, and ends its watches");
        watches.forEach(Discovery::end);
        watches.clear();
    }

    /** Waits until the whole list of the present version has been written to the sidecar, and returns when that was. */
    synchronized double awaitWholeListTold() throws InterruptedException, IOException {
        double untilMs = kit.nowMs() + 10_000;
        while (Double.isNaN(wholeToldMs)) {
            if (kit.nowMs() > untilMs) {
                throw new IOException("the sidecar did not ask for the list again");
            }
            wait(50);
        }
        return wholeToldMs;
    }

    private static void end(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // it has ended
        }
    }

    private static void write(Socket watch, String text) {
        try {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            OutputStream out = watch.getOutputStream();
            out.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            end(watch);
        }
    }

    private void sendEmptyLines() {
        while (!listener.isClosed()) {
            try {
                Thread.sleep(2000);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                watches.forEach(watch -> write(watch, "\n"));
            }
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                start(() -> serve(socket));
            } catch (IOException e) {
                return; // the case is over
            }
        }
    }

    private void serve(Socket socket) {
        try {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                synchronized (this) {
                    kit.note("discovery " + name + " is asked: " + call.firstLine() + "; at version " + version);
                    if (call.target().contains("stream=1")) {
                        String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                        socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
                        int from = Integer.parseInt(call.target().replaceAll(".*index=(\\d+).*", "$1"));
                        if (from != version) {
                            write(socket, whole());
                            wholeToldMs = kit.nowMs();
                        }
                        watches.add(socket);
                    } else {
                        String list = whole();
                        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n";
                        socket.getOutputStream().write((head + list).getBytes(StandardCharsets.UTF_8));
                        wholeToldMs = kit.nowMs();
                    }
                }
            }
        } catch (IOException e) {
            // the sidecar has ended the connection
        }
        synchronized (this) {
            watches.remove(socket);
        }
        end(socket);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
