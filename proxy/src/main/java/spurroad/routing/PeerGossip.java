package spurroad.routing;

import java.net.InetSocketAddress;
import java.util.List;
import spurroad.model.Decisions;
import spurroad.protocol.PeerUpdateCodec;
import spurroad.protocol.ProtocolException;
import spurroad.transport.EventLog;
import spurroad.transport.PeerDatagrams;
import spurroad.transport.Threads;

/** Exchanges peer updates with the other proxies of the deployment in datagrams. */
public final class PeerGossip {
    private final PeerDatagrams datagrams;

    /** Opens the socket and starts a thread that receives updates. */
    public PeerGossip(List<InetSocketAddress> proxies, int ownIndex, Threads threads, EventLog log,
                      LoadBalancerThread loadBalancer) {
        datagrams = new PeerDatagrams(proxies, ownIndex, log, bytes -> {
            try {
                loadBalancer.onPeerUpdate(PeerUpdateCodec.decode(bytes));
            } catch (ProtocolException e) {
                log.warn("ignored malformed peer update", "error=" + e.getMessage());
            }
        });
        threads.start("peer updates", datagrams);
    }

    /** Sends an update to its recipient, or to all peers. Must be called on the event loop. */
    void send(Decisions.SendPeerUpdate message) {
        byte[] bytes = PeerUpdateCodec.encode(message.update());
        if (message.recipient() == Decisions.ALL_PEERS) {
            datagrams.sendAll(bytes);
        } else {
            datagrams.send(message.recipient(), bytes);
        }
    }
}
