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
 * Takes the JSON values out of a watch, whatever the white space in and between them and wherever the pieces are cut. Guards
 * against lists that come indented: taken for one a line they could not be read at all. Holds one value that is not whole yet,
 * of so many bytes at most.
 */
final class ListValues implements Closeable {

    /** What a piece has brought: the values that are whole now, and whether an empty line stood between values. */
    record Piece(List<JsonNode> values, boolean emptyLine) {

        /** Whether it shows that the other side is there: a value that never gets whole does not. */
        boolean isSignOfLife() {
            return emptyLine || !values.isEmpty();
        }
    }

    private final int mostBytes;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private TokenBuffer value;
    private int depth;
    private long begunAt;

    ListValues(int mostBytes) throws IOException {
        this.mostBytes = mostBytes;
        this.parser = Json.MAPPER.getFactory().createNonBlockingByteArrayParser();
        this.feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /**
     * Takes what has come next.
     *
     * @throws IOException if it is no JSON, or a value is too long; where, is said in bytes from the begin of the watch
     */
    Piece take(byte[] bytes) throws IOException {
        boolean emptyLine = value == null && beginsWithEmptyLine(bytes);
        List<JsonNode> whole = new ArrayList<>(1);
        feeder.feedInput(bytes, 0, bytes.length);
        for (JsonToken token = parser.nextToken();
                token != null && token != JsonToken.NOT_AVAILABLE;
                token = parser.nextToken()) {
            if (value == null) {
                value = new TokenBuffer(parser);
                begunAt = at();
            }
            value.copyCurrentEvent(parser);
            depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            if (depth == 0) {
                whole.add(Json.MAPPER.readTree(value.asParser()));
                value = null;
            }
        }
        if (value != null && at() - begunAt > mostBytes) {
            throw new IOException("a list is longer than " + mostBytes + " bytes");
        }
        return new Piece(whole, emptyLine);
    }

    /** How many bytes have been read. */
    long at() {
        return parser.currentLocation().getByteOffset();
    }

    private static boolean beginsWithEmptyLine(byte[] bytes) {
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
