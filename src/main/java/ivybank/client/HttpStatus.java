package ivybank.client;

/** The statuses of answers that do not come from a node (RFC 9110, section 15). */
final class HttpStatus {

    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int METHOD_NOT_ALLOWED = 405;
    static final int REQUEST_TIMEOUT = 408;
    static final int CONFLICT = 409;
    static final int CONTENT_TOO_LARGE = 413;
    static final int EXPECTATION_FAILED = 417;
    static final int BAD_GATEWAY = 502;
    static final int SERVICE_UNAVAILABLE = 503;

    private HttpStatus() {}
}
