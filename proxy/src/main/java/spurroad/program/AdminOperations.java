package spurroad.program;

import java.util.function.Consumer;
import spurroad.admin.AdminRoutes;
import spurroad.admin.StatsdExport;
import spurroad.program.restart.HotRestart;

/** What the operators may ask of a proxy that serves, through its second address. Any thread may call it. */
final class AdminOperations {
    private final ClientAcceptance acceptance;
    private final StatsdExport metrics;
    private final LocalProcessControl local;
    private final HotRestart hotRestart;

    /**
     * Acts upon one proxy.
     *
     * @param hotRestart passes drains on to the other processes of this proxy; null where there can be none
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
     * Drains a cache node, or gives it back.
     *
     * @param id the name of the cache node in the endpoint list
     * @param onApplied called, from any thread, once this process does so, if others have to follow
     * @param onResult called once, from any thread, with whether such an endpoint has ever been listed
     */
    void setDrained(String id, boolean drained, Runnable onApplied, Consumer<Boolean> onResult) {
        if (hotRestart == null) {
            local.setDrained(id, drained, false, onResult);
        } else {
            hotRestart.setAdminDrain(id, drained, onApplied, onResult);
        }
    }
}
