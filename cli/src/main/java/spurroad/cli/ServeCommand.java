package spurroad.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import spurroad.program.Main;

/**
 * Serves, as the platform's own start does, with further features where an operators' file switches them on.
 */
@Command(name = "serve", mixinStandardHelpOptions = true, description = {
    "Serves until it gets SIGTERM; then it answers what it has taken and ends.",
    "BALANCER_CONFIG names the platform's configuration (JSON), as with the lean start."})
final class ServeCommand implements Callable<Integer> {
    @Option(names = "--operators", paramLabel = "FILE", description = "An operators' file (TOML).")
    private Path operators;

    @Override
    public Integer call() throws Exception {
        if (operators != null) {
            OperatorsFile.read(operators).apply();
        }
        Main.main(new String[] {"serve"});
        return 0;
    }
}
