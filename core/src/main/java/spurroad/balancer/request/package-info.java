/**
 * Processing of requests: from their arrival through the choice of an endpoint and the attempts to the final
 * answer.
 *
 * <p>{@link spurroad.balancer.request.RequestPipeline} is the entry point and passes requests from module to
 * module; the other classes are public only so that the parent package can create them.
 * {@link spurroad.balancer.request.RetryPolicy} alone decides what may be retried or rejected.
 *
 * <p>Invariants: each accepted request gets exactly one final answer; at most one attempt of it is in flight;
 * a request that may have had an effect is repeated only if its class allows it. Everything is called from
 * the load balancer's thread only.
 */
package spurroad.balancer.request;
