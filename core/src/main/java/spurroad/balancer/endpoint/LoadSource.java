package spurroad.balancer.endpoint;

/**
 * The source of an endpoint's queue length. Service times measured with different sources are not comparable.
 */
public enum LoadSource {
    /** The number of this proxy's own attempts in flight, in place of the queue length. */
    OWN_ATTEMPTS,
    /** The endpoint or its owner reported the queue length, which includes the requests of all proxies. */
    REPORTED
}
