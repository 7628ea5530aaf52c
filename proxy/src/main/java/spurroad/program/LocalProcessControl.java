package spurroad.program;

import java.util.function.Consumer;
import spurroad.model.EndpointId;
import spurroad.program.restart.HotRestart;
import spurroad.protocol.EndpointList;
import spurroad.routing.LoadBalancerThread;
import spurroad.transport.DescriptorBudget;

/**
 * Applies changes of a hot restart to this process: administratively drained endpoints and the descriptor
 * limit. Any thread may call it.
 */
final class LocalProcessControl implements HotRestart.ProcessControl {
    private final LoadBalancerThread loadBalancer;
    private final DescriptorBudget descriptors;

    LocalProcessControl(LoadBalancerThread loadBalancer, DescriptorBudget descriptors) {
        this.loadBalancer = loadBalancer;
        this.descriptors = descriptors;
    }

    @Override
    public void setDrained(String id, boolean drained, boolean knownElsewhere, Consumer<Boolean> onResult) {
        loadBalancer.setAdminDrain(new EndpointId(EndpointList.hash(id)), drained, knownElsewhere, onResult);
    }

    @Override
    public int descriptorsInUse() {
        return descriptors.inUse();
    }

    /**
     * Closes idle connections to endpoints if this process holds more descriptors than the limit. The budget
     * is never set below the descriptors in use, as clients that connect meanwhile would then get none.
     */
    @Override
    public void setDescriptorLimit(int limit) {
        int excess = descriptors.inUse() - limit;
        if (excess > 0) {
            loadBalancer.closeIdleConnections(excess);
        }
        descriptors.resize(Math.max(limit, descriptors.inUse()));
    }
}
