package spurroad.testbed.soak;

import java.util.Map;

/** What a process may inherit from the one that starts it. */
enum StartCondition {
    /** Nothing unusual. */
    PLAIN,
    /** SIGTERM, SIGHUP and SIGINT are ignored. */
    SIGNALS_IGNORED,
    /** Further descriptors are open. */
    DESCRIPTORS_OPEN,
    /** Another locale and time zone are set. */
    OTHER_ENVIRONMENT;

    private static final String OPEN_DESCRIPTORS = "exec 3</dev/null 4</dev/null 5</dev/null "
        + "6</dev/null 7</dev/null 8</dev/null; ";

    /** Returns the start of the shell command under this condition. */
    String shellPrefix() {
        return this == DESCRIPTORS_OPEN ? OPEN_DESCRIPTORS : "";
    }

    /** Returns the additional environment variables under this condition. */
    Map<String, String> environment() {
        return this == OTHER_ENVIRONMENT ? Map.of("LC_ALL", "C", "TZ", "Asia/Colombo") : Map.of();
    }
}
