package ivybank.client;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import ivybank.common.Clock;
import ivybank.exchange.ClientLink;
import ivybank.exchange.ClientRequest;
import ivybank.policy.Balancer.Effect;

/** Makes of what was read on one connection the request that goes on to servers, or the status that is owed where none does. */
final class ArrivalParser {

    private static final String READY_PATH = "/health/ready";
    private static final String CALL_ID = "X-Call-Id";
    private static final String CALLER = "X-Caller";
    private static final String BUDGET = "X-Budget-Ms";
    private static final String AGAIN = "X-Again";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private final ClientServer server;
    private final Clock clock;
    private final ClientLink client;

    /** @param client the connection on which it comes */
    ArrivalParser(ClientServer server, Clock clock, ClientLink client) {
        this.server = server;
        this.clock = clock;
        this.client = client;
    }

    /**
     * What was read as it is to be taken up.
     *
     * @param earliestMs since when it may have stood in a socket that could not be read, in milliseconds; NaN where it did not
     */
    Arrival read(RequestReader.Read message, double earliestMs) {
        if (message.head() == null) {
            return new Arrival(null, message.status(), false);
        }
        Arrival arrival = arrival(message, earliestMs);
        if (message.rest() != null && arrival.request() == null) {
            message.rest().abandon();
            return new Arrival(null, arrival.status(), false);
        }
        return arrival;
    }

    private Arrival arrival(RequestReader.Read message, double earliestMs) {
        HttpRequest head = message.head();
        boolean keepAlive = HttpUtil.isKeepAlive(head);
        String uri = RequestFields.originForm(head.uri());
        int end = uri.indexOf('?');
        String path = end < 0 ? uri : uri.substring(0, end);
        if (path.equals(READY_PATH)) {
            return new Arrival(null, server.ready() ? HttpStatus.OK : HttpStatus.UNAVAILABLE, keepAlive);
        }
        int slash = path.indexOf('/', 1);
        int requestClass = server.classOf(slash < 0 ? path : path.substring(0, slash));
        if (requestClass < 0) {
            return new Arrival(null, HttpStatus.NOT_FOUND, keepAlive);
        }
        HttpMethod method = server.effectOf(requestClass) == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!head.method().equals(method)) {
            return new Arrival(null, HttpStatus.NOT_ALLOWED, keepAlive);
        }
        int status = statusOfFields(message, uri, method);
        if (status > 0) {
            // What is on record is kept whole, so that a long one can't go on.
            return new Arrival(null, status, keepAlive && status != HttpStatus.TOO_LARGE);
        }
        return new Arrival(
                request(message, uri, requestClass, earliestMs),
                0,
                keepAlive,
                head.protocolVersion().equals(HttpVersion.HTTP_1_0));
    }

    /** What a request is owed whose fields don't say what they must, or 0 where they do. */
    private int statusOfFields(RequestReader.Read message, String uri, HttpMethod method) {
        RequestFields fields = new RequestFields(message.head().headers());
        boolean strayBody = method.equals(HttpMethod.GET) && message.body().length > 0;
        if (fields.token(CALL_ID) == null
                || fields.milliseconds(BUDGET) <= 0
                || !fields.isTokenOrAbsent(IDEMPOTENCY_KEY)
                || !RequestFields.isPlain(uri)
                || strayBody) {
            return HttpStatus.BAD_REQUEST;
        }
        String identityHeader = server.identityHeader();
        if (identityHeader != null && !fields.isTokenOrAbsent(identityHeader)) {
            return HttpStatus.BAD_REQUEST; // it must not be taken for one without an identity
        }
        return message.rest() != null && identityHeader != null ? HttpStatus.TOO_LARGE : 0;
    }

    private ClientRequest request(RequestReader.Read message, String uri, int requestClass, double earliestMs) {
        HttpRequest head = message.head();
        RequestFields fields = new RequestFields(head.headers());
        double nowMs = clock.nowMs();
        return new ClientRequest(
                head.method(),
                uri,
                fields.token(CALL_ID),
                fields.token(IDEMPOTENCY_KEY),
                message.body(),
                requestClass,
                server.tenantOf(head.headers().get(CALLER)),
                "1".equals(head.headers().get(AGAIN)),
                nowMs,
                Double.isNaN(earliestMs) ? nowMs : earliestMs,
                fields.milliseconds(BUDGET),
                server.identityHeader() == null ? null : fields.token(server.identityHeader()),
                null,
                message.rest(),
                message.rest() == null ? message.body().length : HttpUtil.getContentLength(head, -1L),
                client);
    }
}
