/**
 * The path of a request through a proxy: client connections, the thread that calls the load balancer, pools
 * of connections to endpoints, and the watch on discovery's endpoint list.
 *
 * <p>{@link spurroad.routing.ClientConnections} accepts clients, {@link spurroad.routing.ClientConnection}
 * reads commands and writes responses in their order, {@link spurroad.routing.LoadBalancerThread} owns the
 * load balancer and carries out its decisions, {@link spurroad.routing.EndpointConnectionPool} executes
 * attempts and load probes at one endpoint, and {@link spurroad.routing.EndpointWatch} follows discovery.
 *
 * <p>This package uses two threads. The event loop owns all sockets and the state of each connection; the
 * load balancer's thread owns the decisions. They exchange messages and share nothing else. This package does
 * not decide where a request goes, only whether a decision may still be carried out after later events.
 */
package spurroad.routing;
