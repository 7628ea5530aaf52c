package spurroad.control.distribution.state;

/**
 * Notified of each configuration change and purge that takes effect at a process, once and in order, on the
 * thread that handles the update.
 */
public interface StateListener {
    /** A listener that does nothing. */
    StateListener NONE = new StateListener() {};

    /** Called when a change of the configuration has taken effect. */
    default void onConfigurationChange(ConfigurationEntry entry) {}

    /**
     * Called when purges have taken effect.
     *
     * @param batch contains all of these purges, and may begin with purges that had taken effect before
     * @param fromNumber number of the latest purge that had taken effect before
     */
    default void onPurges(PurgeBatch batch, long fromNumber) {}

    /**
     * Called when purges up to a number have taken effect without their keys: no response that was stored
     * before may be served as fresh.
     */
    default void onPurgeReset(long toNumber) {}
}
