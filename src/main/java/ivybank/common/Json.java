package ivybank.common;

import com.fasterxml.jackson.databind.ObjectMapper;

/** The one reader and writer of JSON: to make another costs a start some of its time. */
public final class Json {

    public static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}
}
