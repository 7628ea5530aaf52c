package spurroad.program;

import java.util.Map;
import java.util.Optional;

/** The commands of the program; its only command line argument names one of them. */
enum Command {
    /** Serves clients until the process receives a termination signal. */
    SERVE("serve"),
    /** Runs the warm-up requests and exits; the build records the classes that they load. */
    WARM_UP("warm-up"),
    /** Runs load balancers for a simulator over standard input and output. */
    SIMULATOR("simulator");

    /** The usage line, printed if the command line is invalid. */
    static final String USAGE = "usage: spurroad serve | warm-up | simulator";

    // Deploy files of earlier builds use these words. They are accepted for one version after the commands
    // were renamed; then this map is removed.
    private static final Map<String, Command> DEPRECATED_WORDS = Map.of("rehearse", WARM_UP, "wirehost",
        SIMULATOR);

    private final String word;

    Command(String word) {
        this.word = word;
    }

    /** Returns the command that the only argument names; empty for any other number or an unknown word. */
    static Optional<Command> fromArguments(String... arguments) {
        if (arguments.length != 1) {
            return Optional.empty();
        }
        for (Command command : values()) {
            if (command.word.equals(arguments[0])) {
                return Optional.of(command);
            }
        }
        return Optional.ofNullable(DEPRECATED_WORDS.get(arguments[0]));
    }
}
