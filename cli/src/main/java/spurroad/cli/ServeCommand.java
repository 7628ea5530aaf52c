package spurroad.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import spurroad.program.Main;

/** Runs the proxy like the plain jar does, with the features that an operators' file enables. */
@Command(name = "serve", mixinStandardHelpOptions = true, description = {
    "Runs the proxy until SIGTERM; it then answers the requests that it has accepted and exits.",
    "BALANCER_CONFIG names the proxy configuration (JSON), as when the jar is started directly."})
final class ServeCommand implements Callable<Integer> {
    @Option(names = "--operators", paramLabel = "FILE", description = "An operators' file (TOML).")
    private Path operatorsFile;

    @Override
    public Integer call() throws Exception {
        if (operatorsFile != null) {
            OperatorsFile.read(operatorsFile).apply();
        }
        Main.main(new String[] {"serve"});
        return 0;
    }
}
