package spurroad.program;

import java.util.function.Consumer;
import spurroad.admin.AdminRoutes;
import spurroad.admin.StatsdExport;
import spurroad.program.restart.HotRestart;

/** The operations that the admin server offers for a serving proxy. Any thread may call them. */
final class AdminOperations {
    private final ClientAcceptance acceptance;
    private final StatsdExport metrics;
    private final LocalProcessControl local;
    private final HotRestart hotRestart;

    /**
     * Creates the operations of one proxy.
     *
     * @param hotRestart propagates drains to the other processes of this proxy; null if there can be none
     */
    AdminOperations(ClientAcceptance acceptance, StatsdExport metrics, LocalProcessControl local,
                    HotRestart hotRestart) {
        this.acceptance = acceptance;
        this.metrics = metrics;
        this.local = local;
        this.hotRestart = hotRestart;
    }

    AdminRoutes routes() {
        return new AdminRoutes(acceptance::isAccepting, metrics, this::setDrained);
    }

    /**
     * Drains a cache node, or returns it to use.
     *
     * @param id the name of the cache node in the endpoint list
     * @param onApplied called on any thread once this process has applied the change, if other processes have
     *     to apply it too
     * @param onResult called once, on any thread, with whether such an endpoint has ever been listed
     */
    void setDrained(String id, boolean drained, Runnable onApplied, Consumer<Boolean> onResult) {
        if (hotRestart == null) {
            local.setDrained(id, drained, false, onResult);
        } else {
            hotRestart.setAdminDrain(id, drained, onApplied, onResult);
        }
    }
}
