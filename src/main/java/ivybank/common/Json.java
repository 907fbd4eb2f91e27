package ivybank.common;

import com.fasterxml.jackson.databind.ObjectMapper;

/** The shared reader and writer of JSON; creating another one would slow down startup. */
public final class Json {

    public static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}
}
