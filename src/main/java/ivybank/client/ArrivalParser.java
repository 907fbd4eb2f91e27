package ivybank.client;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import ivybank.common.Clock;
import ivybank.common.KeptHeaders;
import ivybank.exchange.ClientLink;
import ivybank.exchange.ClientRequest;
import ivybank.policy.Balancer.Effect;
import java.util.ArrayList;
import java.util.List;

/** Converts messages read on one connection into requests to forward, or into the status to answer if they are not forwarded. */
final class ArrivalParser {

    private static final String READINESS_PATH = "/health/ready";
    private static final String CALL_ID_HEADER = "X-Call-Id";
    private static final String CALLER_HEADER = "X-Caller";
    private static final String BUDGET_HEADER = "X-Budget-Ms";
    private static final String RETRY_HEADER = "X-Again";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    private static final List<String> USED_HEADERS = List.of(
            CALL_ID_HEADER,
            CALLER_HEADER,
            BUDGET_HEADER,
            RETRY_HEADER,
            IDEMPOTENCY_KEY_HEADER,
            HttpHeaderNames.CONTENT_LENGTH.toString(),
            HttpHeaderNames.TRANSFER_ENCODING.toString(),
            HttpHeaderNames.CONNECTION.toString(),
            HttpHeaderNames.EXPECT.toString());

    private final ClientServer server;
    private final Clock clock;
    private final ClientLink client;

    /**
     * Returns a factory of headers that keep the fields which are used of a request.
     *
     * @param identityHeader one more field that is used, or null
     */
    static HttpHeadersFactory headersFactory(String identityHeader) {
        List<String> names = new ArrayList<>(USED_HEADERS);
        if (identityHeader != null) {
            names.add(identityHeader);
        }
        return KeptHeaders.factory(names);
    }

    /** @param client the connection on which the messages are read */
    ArrivalParser(ClientServer server, Clock clock, ClientLink client) {
        this.server = server;
        this.clock = clock;
        this.client = client;
    }

    /**
     * Parses a message.
     *
     * @param earliestMs the earliest time at which its last byte may have been in the socket, in milliseconds
     */
    Arrival parse(RequestReader.RequestEvent message, double earliestMs) {
        if (message.head() == null) {
            return message.status() == HttpStatus.SERVICE_UNAVAILABLE
                    ? Arrival.LAST_SURPLUS
                    : new Arrival(null, message.status(), false);
        }
        Arrival arrival = parseHead(message, earliestMs);
        if (arrival.request() != null) {
            return arrival;
        }
        message.release();
        return message.remainingBody() == null ? arrival : new Arrival(null, arrival.status(), false);
    }

    private Arrival parseHead(RequestReader.RequestEvent message, double earliestMs) {
        HttpRequest head = message.head();
        boolean keepAlive = HttpUtil.isKeepAlive(head);
        String uri = RequestFields.originForm(head.uri());
        int end = uri.indexOf('?');
        String path = end < 0 ? uri : uri.substring(0, end);
        if (path.equals(READINESS_PATH)) {
            return new Arrival(null, server.ready() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE, keepAlive);
        }
        int slash = path.indexOf('/', 1);
        int requestClass = server.classOf(slash < 0 ? path : path.substring(0, slash));
        if (requestClass < 0) {
            return new Arrival(null, HttpStatus.NOT_FOUND, keepAlive);
        }
        HttpMethod method = server.effectOf(requestClass) == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!head.method().equals(method)) {
            return new Arrival(null, HttpStatus.METHOD_NOT_ALLOWED, keepAlive);
        }
        int status = invalidFieldsStatus(message, uri, method);
        if (status > 0) {
            // Requests with an identity are recorded whole: a streamed one is rejected and its connection closed.
            return new Arrival(null, status, keepAlive && status != HttpStatus.CONTENT_TOO_LARGE);
        }
        return new Arrival(
                request(message, uri, requestClass, earliestMs),
                0,
                keepAlive,
                head.protocolVersion().equals(HttpVersion.HTTP_1_0));
    }

    /** Returns the status to answer to a request whose header fields are invalid, or 0 if they are valid. */
    private int invalidFieldsStatus(RequestReader.RequestEvent message, String uri, HttpMethod method) {
        RequestFields fields = new RequestFields(message.head().headers());
        boolean unexpectedBody =
                method.equals(HttpMethod.GET) && (message.body().length > 0 || message.remainingBody() != null);
        if (fields.token(CALL_ID_HEADER) == null
                || fields.milliseconds(BUDGET_HEADER) <= 0
                || !fields.isTokenOrAbsent(IDEMPOTENCY_KEY_HEADER)
                || !RequestFields.isPlain(uri)
                || unexpectedBody) {
            return HttpStatus.BAD_REQUEST;
        }
        String identityHeader = server.identityHeader();
        if (identityHeader != null && !fields.isTokenOrAbsent(identityHeader)) {
            return HttpStatus.BAD_REQUEST; // otherwise it would be treated as a request without an identity
        }
        return message.remainingBody() != null && identityHeader != null ? HttpStatus.CONTENT_TOO_LARGE : 0;
    }

    private ClientRequest request(RequestReader.RequestEvent message, String uri, int requestClass, double earliestMs) {
        HttpRequest head = message.head();
        RequestFields fields = new RequestFields(head.headers());
        double nowMs = clock.nowMs();
        return new ClientRequest(
                head.method(),
                uri,
                fields.token(CALL_ID_HEADER),
                fields.token(IDEMPOTENCY_KEY_HEADER),
                message.body(),
                message.memory(),
                requestClass,
                server.tenantOf(head.headers().get(CALLER_HEADER)),
                "1".equals(head.headers().get(RETRY_HEADER)),
                nowMs,
                earliestMs,
                fields.milliseconds(BUDGET_HEADER),
                server.identityHeader() == null ? null : fields.token(server.identityHeader()),
                null,
                message.remainingBody(),
                message.remainingBody() == null ? message.body().length : HttpUtil.getContentLength(head, -1L),
                client);
    }
}
