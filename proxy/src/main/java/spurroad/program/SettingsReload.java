package spurroad.program;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import spurroad.configuration.InvalidSettingException;
import spurroad.configuration.ProxyConfiguration;
import spurroad.routing.ClientConnections;
import spurroad.routing.EndpointWatch;
import spurroad.transport.EventLog;

/**
 * Replaces the settings in force by those of a new configuration, all at once, or none of them if it is
 * invalid. Any thread may call it; reloads are serialized.
 */
final class SettingsReload {
    private final EndpointWatch endpointWatch;
    private final ClientConnections clients;
    private final EventLog log;
    private final AtomicLong applied = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private ProxyConfiguration current; // guarded by this

    SettingsReload(ProxyConfiguration initial, EndpointWatch endpointWatch, ClientConnections clients,
                   EventLog log) {
        current = initial;
        this.endpointWatch = endpointWatch;
        this.clients = clients;
        this.log = log;
    }

    /**
     * Reads a configuration and applies it.
     *
     * @param source reads and checks it; throws {@link InvalidSettingException} if it is invalid
     */
    synchronized void reload(Supplier<ProxyConfiguration> source) {
        try {
            ProxyConfiguration next = source.get();
            current.checkReplacement(next);
            apply(next);
            applied.incrementAndGet();
        } catch (InvalidSettingException e) {
            rejected.incrementAndGet();
            log.warn("settings reload rejected", "reason=" + e.getMessage());
        }
    }

    private void apply(ProxyConfiguration next) {
        List<String> restartOnly = current.restartOnlyChanges(next);
        if (!restartOnly.isEmpty()) {
            log.info("changed settings need a restart", "keys=[" + String.join(", ", restartOnly) + "]");
        }
        if (!next.discoveryAddress.equals(current.discoveryAddress)) {
            endpointWatch.onDiscoveryMoved(next.discoveryAddress);
        }
        log.info("settings reloaded",
            "discovery=" + next.discoveryAddress + " classes=" + next.settings.requestClassNames);
        clients.applySettings(next.settings);
        current = next;
    }

    /** Returns how many configurations were applied since the start. */
    long appliedCount() {
        return applied.get();
    }

    /** Returns how many configurations were rejected since the start. */
    long rejectedCount() {
        return rejected.get();
    }
}
