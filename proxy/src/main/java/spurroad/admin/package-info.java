/**
 * The admin server of a proxy, through which operators and health checks read its state and metrics and drain
 * cache nodes.
 *
 * <p>{@link spurroad.admin.AdminServer} owns the listener and has its own event loop and thread. Each
 * connection carries one {@link spurroad.admin.AdminRequest}, which {@link spurroad.admin.AdminRoutes}
 * answers with one {@link spurroad.admin.AdminResponse}. The package does not depend on the proxy: the routes
 * get the metrics and the drain control as constructor arguments.
 */
package spurroad.admin;
