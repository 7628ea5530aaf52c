package spurroad.routing;

import spurroad.transport.GrowthBudget;

/**
 * Message to the event loop with the final response of a request. It is a record rather than a lambda because
 * one is created for each request; {@link BalancerMessage} gives the reason.
 *
 * @param streamed the long value that follows the response; null if there is none
 * @param memory the memory that is reserved for the response; null if there is none
 */
record ResponseMessage(ProxiedRequest request, byte[] response, OutcomeStatistics.End end,
                       LongResponse streamed, GrowthBudget.Reservation memory)
    implements
        Runnable {
    @Override
    public void run() {
        request.client.answer(request, response, end, streamed, memory);
    }
}
