package ivybank.common;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Header fields of which only those are kept that are used. A field of a few bytes takes hundreds as objects, so a head of very many
 * short ones would take far more memory than was sent. What is dropped is validated like what is kept.
 */
public final class KeptHeaders extends DefaultHttpHeaders {

    /** How often a field may be repeated; a repeated one is mostly invalid, which two show. */
    private static final int MAX_VALUES = 8;
    /** What a kept field takes beside its bytes, in bytes of heap. */
    private static final int FIELD_OVERHEAD_BYTES = 160;

    private static final DefaultHttpHeadersFactory VALIDATION = DefaultHttpHeadersFactory.headersFactory();

    private final List<AsciiString> names;
    private int bytes;

    private KeptHeaders(List<AsciiString> names) {
        super(VALIDATION.getNameValidator(), VALIDATION.getValueValidator());
        this.names = names;
    }

    /** Returns a factory of headers that keep the fields with these names, whatever the case of their letters. */
    public static HttpHeadersFactory factory(List<String> names) {
        List<AsciiString> kept = names.stream().map(AsciiString::new).toList();
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new KeptHeaders(kept);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new KeptHeaders(kept);
            }
        };
    }

    /** Returns about how much heap these headers take, in bytes. */
    public static int heapBytes(HttpHeaders headers) {
        return headers instanceof KeptHeaders kept ? kept.bytes : 0;
    }

    /**
     * Adds a field if it is one to be kept.
     *
     * @throws IllegalArgumentException if it is invalid, or repeated too often
     */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (!isKept(name)) {
            VALIDATION.getNameValidator().validateName(name);
            VALIDATION.getValueValidator().validate(value.toString());
            return this;
        }
        if (getAll(name).size() >= MAX_VALUES) {
            throw new IllegalArgumentException("a header field is repeated too often");
        }
        bytes += FIELD_OVERHEAD_BYTES + name.length() + value.toString().length();
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        return add((CharSequence) name, value);
    }

    private boolean isKept(CharSequence name) {
        for (AsciiString each : names) {
            if (each.contentEqualsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }
}
