package spurroad.balancer.request;

import spurroad.balancer.context.ActiveDeployment;

/**
 * A token bucket of retries, filled by first attempts: failures then add a fraction to the load instead of
 * multiplying it, at any number of proxies.
 */
public final class RetryBudget {
    private static final double TOKENS_PER_REQUEST = 0.2;
    private static final double MAX_TOKENS = 5; // hundreds of proxies save up alike
    // full endpoints passed each request on to two others, each of which missed there
    private static final double TOKENS_PER_REQUEST_WITH_GOSSIP = 0.05;
    private static final double MAX_TOKENS_WITH_GOSSIP = 1;

    private final ActiveDeployment deployment;
    private double tokens;
    private boolean frozen;

    /** Creates a full budget, or an empty one where proxies talk. */
    public RetryBudget(ActiveDeployment deployment) {
        this.deployment = deployment;
        tokens = deployment.gossipEnabled() ? 0 : MAX_TOKENS;
    }

    /** Sets whether requests earn no tokens for now, as the proxy's own resources are short. */
    void setFrozen(boolean isFrozen) {
        frozen = isFrozen;
    }

    /** Adds what a new request earns. */
    void onRequest() {
        if (frozen) {
            return;
        }
        boolean gossipEnabled = deployment.gossipEnabled();
        double earnedTokens = gossipEnabled ? TOKENS_PER_REQUEST_WITH_GOSSIP : TOKENS_PER_REQUEST;
        tokens = Math.min(gossipEnabled ? MAX_TOKENS_WITH_GOSSIP : MAX_TOKENS, tokens + earnedTokens);
    }

    /** Returns whether a retry is left, which is then used. */
    boolean tryWithdraw() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
