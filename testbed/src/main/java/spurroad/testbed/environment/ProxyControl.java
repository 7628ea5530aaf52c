package spurroad.testbed.environment;

/** What faults do to proxies, by their numbers. */
public interface ProxyControl {
    /** Stops a proxy's process, or continues it. */
    void stopped(int proxy, boolean on);

    /** Kills a proxy, or starts it again. */
    void killed(int proxy, boolean on);

    /** Limits a proxy to a part of a core; 1 for what the scenario gives it. */
    void share(int proxy, double part);
}
