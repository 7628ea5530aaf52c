package spurroad.balancer.request;

import spurroad.balancer.context.ActiveDeployment;

/**
 * A token bucket that limits retries and is filled by new requests: after failures, retries add at most a
 * fraction to the load instead of multiplying it, whatever the number of proxies.
 */
public final class RetryBudget {
    private static final double TOKENS_PER_REQUEST = 0.2;
    private static final double MAX_TOKENS = 5; // low: hundreds of proxies save up tokens at once
    // lower with gossip: a request rejected by a full endpoint was retried at two others and missed at both
    private static final double TOKENS_PER_REQUEST_WITH_GOSSIP = 0.05;
    private static final double MAX_TOKENS_WITH_GOSSIP = 1;

    private final ActiveDeployment deployment;
    private double tokens;
    private boolean frozen;

    /** Creates a full budget, or an empty one if gossip is enabled. */
    public RetryBudget(ActiveDeployment deployment) {
        this.deployment = deployment;
        tokens = deployment.gossipEnabled() ? 0 : MAX_TOKENS;
    }

    /** Sets whether requests earn no tokens, because the proxy's own resources are short. */
    void setFrozen(boolean isFrozen) {
        frozen = isFrozen;
    }

    /** Adds the tokens that a new request earns. */
    void onRequest() {
        if (frozen) {
            return;
        }
        boolean gossipEnabled = deployment.gossipEnabled();
        double earnedTokens = gossipEnabled ? TOKENS_PER_REQUEST_WITH_GOSSIP : TOKENS_PER_REQUEST;
        tokens = Math.min(gossipEnabled ? MAX_TOKENS_WITH_GOSSIP : MAX_TOKENS, tokens + earnedTokens);
    }

    /** Withdraws the token of one retry, and returns whether there was one. */
    boolean tryWithdraw() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
