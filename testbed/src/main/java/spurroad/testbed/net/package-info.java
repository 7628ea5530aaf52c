/**
 * Runs a scenario on loopback sockets in real time: the models of {@link spurroad.testbed.model} behind
 * servers for the platform's protocols, and real proxies as processes of their own. All sockets and models of
 * an environment are worked by one Netty event loop, called the loop here; a class that is used elsewhere
 * says so. The protocol code is the testbed's own and shares nothing with the proxy's, so that a defect there
 * can't hide here.
 */
package spurroad.testbed.net;
