package spurroad.balancer.request;

import spurroad.balancer.endpoint.EndpointState;

/**
 * The next step of a request, which a decision module chooses and {@link RequestPipeline} carries out.
 *
 * @param endpoint endpoint of the attempt with {@link Action#DISPATCH}; null otherwise
 */
record NextStep(Action action, EndpointState endpoint) {
    /** The possible steps of a request. */
    enum Action {
        /** Starts an attempt. */
        DISPATCH,
        /** Waits: the request is in the {@link WaitQueue}. */
        WAIT,
        /** Gives the final answer now. */
        REJECT
    }

    static final NextStep WAIT = new NextStep(Action.WAIT, null);
    static final NextStep REJECT = new NextStep(Action.REJECT, null);

    static NextStep dispatchTo(EndpointState endpoint) {
        return new NextStep(Action.DISPATCH, endpoint);
    }
}
