import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The little of HTTP/1.1 that the stand-ins need. */
final class Http {

    /** A message: its first line, its header fields by their names in lower case, and its body. */
    record Message(String firstLine, Map<String, String> fields, byte[] body) {
        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    /** Reads a message with a whole body; null if the connection ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            int length = Integer.parseInt(line(in).split(";")[0].trim(), 16);
            while (length > 0) {
                body.write(exactly(in, length));
                line(in);
                length = Integer.parseInt(line(in).split(";")[0].trim(), 16);
            }
            line(in);
        } else {
            String length = head.field("content-length");
            body.write(exactly(in, length.isEmpty() ? 0 : Integer.parseInt(length)));
        }
        return new Message(head.firstLine(), head.fields(), body.toByteArray());
    }

    static Message readHead(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String next = line(in); next != null && !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            fields.put(next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
        }
        return new Message(first, fields, new byte[0]);
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("the connection ended within a body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        for (; next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the connection ended within a head");
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
