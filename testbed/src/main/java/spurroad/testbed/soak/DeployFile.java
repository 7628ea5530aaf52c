package spurroad.testbed.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The deploy file, from which the soak takes the command that starts a proxy. */
final class DeployFile {
    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");

    private DeployFile() {}

    /**
     * Returns the shell command that starts a proxy.
     *
     * @param root the root of the repository
     */
    static String runCommand(Path root) throws IOException {
        Matcher run = RUN_LINE.matcher(Files.readString(root.resolve("deploy").resolve("balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no line run = \"...\"");
        }
        return run.group(1);
    }
}
