package ivybank.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which header fields are kept, and that what is dropped is still validated. */
class KeptHeadersTest {

    private final HttpHeaders headers =
            KeptHeaders.factory(List.of("X-Call-Id")).newHeaders();

    // Guards against heads of very many short fields that take the whole heap.
    @Test
    void fieldsThatAreNotUsedTakeNoMemory() {
        headers.add("x-call-id", "c");
        int bytes = KeptHeaders.heapBytes(headers);
        for (int i = 0; i < 1600; i++) {
            headers.add("a" + i, "b");
        }
        assertEquals(1, headers.size());
        assertEquals("c", headers.get("X-Call-Id"));
        assertEquals(bytes, KeptHeaders.heapBytes(headers));
        assertTrue(bytes > 0);
    }

    // Guards against a used field that is repeated without end.
    @Test
    void aUsedFieldIsRepeatedAFewTimesAtMost() {
        assertThrows(IllegalArgumentException.class, () -> {
            while (headers.size() < 100) {
                headers.add("X-Call-Id", "c");
            }
        });
    }

    // Guards against a malformed field that passes because it is dropped.
    @Test
    void whatIsDroppedIsValidated() {
        assertThrows(IllegalArgumentException.class, () -> headers.add("a b", "c"));
        assertThrows(IllegalArgumentException.class, () -> headers.add("a", "b\r\nc"));
    }
}
