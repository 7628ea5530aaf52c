package spurroad.admin;

/** Receives the response to an admin request. Thread-safe. */
interface AdminResponder {
    /** Sends the response, unless a response was already sent. */
    void respond(AdminResponse response);

    /** Sets the response that is sent on a timeout; it says how far the request has been carried out. */
    void setTimeoutResponse(AdminResponse response);
}
