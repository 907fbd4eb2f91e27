package ivybank.client;

/** The statuses that clients are answered with where no server's answer is passed on (RFC 9110, section 15). */
final class HttpStatus {

    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int NOT_ALLOWED = 405;
    static final int TIMED_OUT = 408;
    static final int CONFLICT = 409;
    static final int TOO_LARGE = 413;
    static final int EXPECTATION_FAILED = 417;
    static final int BAD_GATEWAY = 502;
    static final int UNAVAILABLE = 503;

    private HttpStatus() {}
}
