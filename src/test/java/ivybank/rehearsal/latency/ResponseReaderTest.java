package ivybank.rehearsal.latency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ivybank.rehearsal.latency.ResponseReader.State;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseReaderTest {

    private static final String GOOD = "HTTP/1.1 200 OK\r\ncontent-LENGTH: 5\r\nX: y\r\n\r\nhello";

    private final ResponseReader reader = new ResponseReader(256);

    private State read(String text) {
        return reader.read(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
    }

    @Test
    void readsAResponseWhereverItIsCut() {
        for (int cut = 1; cut < GOOD.length(); cut++) {
            reader.reset();
            assertEquals(State.INCOMPLETE, read(GOOD.substring(0, cut)), "cut at " + cut);
            assertEquals(State.COMPLETE, read(GOOD.substring(cut)), "cut at " + cut);
            assertEquals(200, reader.status());
            assertTrue(reader.bodyStartsWith("hell".getBytes(StandardCharsets.US_ASCII)));
            assertFalse(reader.bodyStartsWith("help".getBytes(StandardCharsets.US_ASCII)));
            assertFalse(reader.bodyStartsWith("hello!".getBytes(StandardCharsets.US_ASCII)));
        }
    }

    @Test
    void readsAResponseWithoutABody() {
        assertEquals(State.COMPLETE, read("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"));
        assertEquals(503, reader.status());
    }

    @Test
    void isBegunByTheFirstByte() {
        assertFalse(reader.isBegun());
        read("H");
        assertTrue(reader.isBegun());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "no response at all\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\n",
                "HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nmore"
            })
    void whatIsNoSingleResponseIsMalformed(String text) {
        assertEquals(State.MALFORMED, read(text));
    }

    @Test
    void aResponseThatIsTooLongIsMalformed() {
        assertEquals(State.MALFORMED, read("x".repeat(257)));
    }
}
