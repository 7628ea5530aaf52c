/** What decides in a simulated proxy: the load balancer of this build, or a baseline of the literature. */
package spurroad.testbed.policy;
