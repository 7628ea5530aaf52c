package spurroad.admin;

import java.nio.charset.StandardCharsets;

/** The response to an admin request: an HTTP status and a plain text. */
record AdminResponse(Status status, String text) {
    /** The HTTP statuses in use, with their codes and reason phrases. */
    enum Status {
        OK(200, "OK"),
        BAD_REQUEST(400, "Bad Request"),
        NOT_FOUND(404, "Not Found"),
        METHOD_NOT_ALLOWED(405, "Method Not Allowed"),
        HEADER_TOO_LARGE(431, "Request Header Fields Too Large"),
        UNAVAILABLE(503, "Service Unavailable");

        private final int code;
        private final String reason;

        Status(int code, String reason) {
            this.code = code;
            this.reason = reason;
        }
    }

    /** Returns a successful response with a text of complete lines. */
    static AdminResponse ok(String lines) {
        return new AdminResponse(Status.OK, lines);
    }

    /** Returns a rejection with one line that says what was expected, or why the request can't be served. */
    static AdminResponse rejected(Status status, String line) {
        return new AdminResponse(status, line + "\n");
    }

    byte[] encode() {
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        String head = "HTTP/1.1 " + status.code + " " + status.reason + "\r\n"
            + "Content-Type: text/plain; charset=utf-8\r\n"
            + "Content-Length: " + length + "\r\n"
            + "Connection: close\r\n\r\n";
        return (head + text).getBytes(StandardCharsets.UTF_8);
    }
}
