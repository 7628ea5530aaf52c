package spurroad.admin;

/** Takes the response to one admin request; from any thread. */
interface AdminResponder {
    /** Sends the response, unless one was sent before. */
    void respond(AdminResponse response);

    /** Sets what is sent if no response comes in time: what has been done of the request by then. */
    void setTimeoutResponse(AdminResponse response);
}
