package ivybank.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.util.TokenBuffer;
import ivybank.common.Json;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses the JSON values of a watch, whatever white space is in and between them and wherever the input is split. Lists
 * may be indented; a parser that expects one list per line could not read them. Buffers at most one incomplete value of a
 * bounded size.
 */
final class ListValues implements Closeable {

    /**
     * The result of a piece of input: the values that are now complete, and whether an empty line came between values.
     */
    record Piece(List<JsonNode> values, boolean emptyLine) {

        /** Returns whether the piece proves that the other side is alive; a value that never completes does not. */
        boolean isSignOfLife() {
            return emptyLine || !values.isEmpty();
        }
    }

    private final int maxValueBytes;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private TokenBuffer value;
    private int depth;
    private long valueStartOffset;

    ListValues(int maxValueBytes) throws IOException {
        this.maxValueBytes = maxValueBytes;
        this.parser = Json.MAPPER.getFactory().createNonBlockingByteArrayParser();
        this.feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /**
     * Parses the next piece of input.
     *
     * @throws IOException if it is not JSON or a value is too long; locations are in bytes from the start of the watch
     */
    Piece feed(byte[] bytes) throws IOException {
        boolean emptyLine = value == null && startsWithEmptyLine(bytes);
        List<JsonNode> complete = new ArrayList<>(1);
        feeder.feedInput(bytes, 0, bytes.length);
        for (JsonToken token = parser.nextToken();
                token != null && token != JsonToken.NOT_AVAILABLE;
                token = parser.nextToken()) {
            if (value == null) {
                value = new TokenBuffer(parser);
                valueStartOffset = byteOffset();
            }
            value.copyCurrentEvent(parser);
            depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            if (depth == 0) {
                complete.add(Json.MAPPER.readTree(value.asParser()));
                value = null;
            }
        }
        if (value != null && byteOffset() - valueStartOffset > maxValueBytes) {
            throw new IOException("a list is longer than " + maxValueBytes + " bytes");
        }
        return new Piece(complete, emptyLine);
    }

    /** Returns how many bytes have been parsed. */
    long byteOffset() {
        return parser.currentLocation().getByteOffset();
    }

    private static boolean startsWithEmptyLine(byte[] bytes) {
        for (byte each : bytes) {
            if (each == '\n') {
                return true;
            }
            if (each != ' ' && each != '\r' && each != '\t') {
                return false;
            }
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        parser.close();
    }
}
