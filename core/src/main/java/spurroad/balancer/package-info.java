/**
 * Makes the decisions of one proxy: which endpoint a request is sent to, whether it is retried, and whether
 * it is rejected.
 *
 * <p>{@link spurroad.balancer.LoadBalancer} is the only entry point. It receives events with their times and
 * fills {@link spurroad.model.Decisions}, which its host executes. Nothing in this package performs I/O,
 * reads a clock, starts a thread or depends on anything except {@code spurroad.model} and the JDK's
 * collections.
 *
 * <p>Each package depends only on those before it in this order: {@code context} and {@code statistics},
 * {@code peer}, {@code endpoint}, {@code overload}, {@code request}, and this package. Each decision has its
 * own module; docs/design.md lists them.
 *
 * <p>A load balancer and its modules are not thread-safe; the host uses them from one thread at a time.
 */
package spurroad.balancer;
