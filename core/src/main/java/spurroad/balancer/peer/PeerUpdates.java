package spurroad.balancer.peer;

import java.util.function.Consumer;
import spurroad.balancer.context.ActiveDeployment;
import spurroad.balancer.context.EventContext;
import spurroad.model.Decisions;
import spurroad.model.PeerUpdate;

/**
 * Sends updates to other proxies if gossip is enabled in the deployment.
 *
 * <p>Each endpoint, each tenant and the origin has one proxy as its owner, which is notified of all its
 * events and publishes the aggregate to the others. An update of this proxy to itself is applied immediately,
 * so without gossip a proxy is the owner of everything that it observes. Updates are hints: they may be lost,
 * duplicated or wrong, and no rule on what may be sent or answered depends on them.
 */
public final class PeerUpdates {
    private final ActiveDeployment deployment;
    private final EventContext event;
    private final Consumer<PeerUpdate> localHandler;

    /** Creates a sender; {@code localHandler} handles the updates of this proxy to itself. */
    public PeerUpdates(ActiveDeployment deployment, EventContext event, Consumer<PeerUpdate> localHandler) {
        this.deployment = deployment;
        this.event = event;
        this.localHandler = localHandler;
    }

    /**
     * Sends an update to the owner of an endpoint, given by its id, or of a tenant, given by its index; 0
     * represents the origin.
     */
    public void sendToOwner(long subject, PeerUpdate update) {
        sendTo(deployment.fleet().owner(subject), update);
    }

    /** Sends an update to one proxy, given by its index; it may be this one. */
    public void sendTo(int proxy, PeerUpdate update) {
        if (proxy == deployment.fleet().proxyIndex()) {
            localHandler.accept(update);
        } else {
            emit(proxy, update);
        }
    }

    /** Sends an update to all other proxies. */
    public void sendToAll(PeerUpdate update) {
        emit(Decisions.ALL_PEERS, update);
    }

    private void emit(int recipient, PeerUpdate update) {
        if (deployment.gossipEnabled()) {
            event.decisions().peerUpdates.add(new Decisions.SendPeerUpdate(recipient, update));
        }
    }
}
