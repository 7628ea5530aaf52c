package spurroad.routing;

import spurroad.protocol.UpstreamReply;

/** Listener for the end of each attempt and load probe. Called on the event loop. */
interface AttemptListener {
    /** Called exactly once when an attempt ends, with the reply or the outcome that replaces it. */
    void onAttemptEnd(UpstreamRequest attempt, UpstreamReply reply);
}
