package ivybank.scale.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import ivybank.common.Json;
import org.junit.jupiter.api.Test;

/** The stand-in discovery server's list. */
class NodeListTest {

    private final NodeList list = new NodeList(10, 2, 5);

    private static JsonNode read(String text) throws Exception {
        return Json.MAPPER.readTree(text);
    }

    @Test
    void aChangeHasTheNextVersionAndItsEntriesAlone() throws Exception {
        JsonNode change = read(list.change(3, 1234.5));
        assertEquals(6, change.path("seq").asLong());
        assertEquals(3, change.path("hosts").size());
        assertEquals(1234.5, change.path("hosts").path(0).path("born_ms").asDouble());
        assertEquals(10, read(list.whole()).path("hosts").size());
    }

    @Test
    void whoKnowsAnEarlierVersionGetsWhatChangedSinceAndNoMore() throws Exception {
        list.change(2, 1);
        list.change(2, 2);
        assertEquals(2, read(list.since(6)).path("hosts").size());
        assertEquals(4, read(list.since(5)).path("hosts").size());
        assertEquals("", list.since(7));
    }

    @Test
    void whoseVersionIsNotRememberedGetsTheWholeList() throws Exception {
        list.change(1, 1);
        assertEquals(true, read(list.since(3)).path("whole").asBoolean());
        assertEquals(true, read(list.since(99)).path("whole").asBoolean());
    }
}
