package spurroad.cli;

import java.nio.file.Path;

/** Locates files of the repository that {@code bin/spurroad} belongs to. */
final class Installation {
    private static final String HOME_PROPERTY = "spurroad.home";

    private Installation() {}

    /** Returns the repository root, or the working directory if {@code spurroad.home} is not set. */
    static Path home() {
        return Path.of(System.getProperty(HOME_PROPERTY, "."));
    }

    /** Returns the path of the proxy jar that the build of this repository writes. */
    static Path proxyJar() {
        return home().resolve(Path.of("proxy", "target", "spurroad.jar"));
    }
}
