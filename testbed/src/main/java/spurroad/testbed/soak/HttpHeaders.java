package spurroad.testbed.soak;

/** The starts of the header lines that a proxy sends to the origin. */
final class HttpHeaders {
    static final String REQUEST_ID = "X-Request-Id: ";
    /** The name-value list: class, tenant, remaining time and idempotency key. */
    static final String FIELDS = "X-Extras: ";
    static final String CONTENT_LENGTH = "Content-Length: ";

    private HttpHeaders() {}
}
