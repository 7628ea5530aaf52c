package spurroad.cli;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints the versions of this build, the Java runtime and the operating system. */
@Command(name = "version",
    description = "Prints the versions of this build and the Java runtime, and the operating system.")
public final class Version implements Callable<Integer>, IVersionProvider {
    private static final String BUILD_PROPERTIES = "/spurroad.properties"; // written by the build

    @Spec
    private CommandSpec spec;

    @Override
    public String[] getVersion() throws IOException {
        Properties buildProperties = new Properties();
        try (InputStream in = Version.class.getResourceAsStream(BUILD_PROPERTIES)) {
            buildProperties.load(in);
        }
        return new String[] {"spurroad " + buildProperties.getProperty("version"),
            "Java " + Runtime.version() + ", "
                + System.getProperty("os.name") + " " + System.getProperty("os.arch")};
    }

    @Override
    public Integer call() throws IOException {
        for (String line : getVersion()) {
            spec.commandLine().getOut().println(line);
        }
        return 0;
    }
}
