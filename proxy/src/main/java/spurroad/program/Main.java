package spurroad.program;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.Optional;
import spurroad.configuration.InvalidSettingException;
import spurroad.configuration.ProxyConfiguration;
import spurroad.simulator.SimulatorAdapter;
import spurroad.simulator.WireFormatException;
import spurroad.transport.Clock;
import spurroad.transport.EventLog;
import spurroad.transport.Threads;

/** The entry point: runs one {@link Command} and reports a failure as one line and an exit code. */
public final class Main {
    private static final int INPUT_BUFFER_BYTES = 1 << 16;
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /** Runs the command named by the only argument. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Optional<Command> command = Command.fromArguments(args);
        if (command.isEmpty()) {
            exit(Command.USAGE, EXIT_USAGE);
            return;
        }
        try {
            run(command.get());
        } catch (InvalidSettingException e) {
            exit("spurroad: " + e.getMessage(), EXIT_USAGE);
        } catch (ListenException | WireFormatException e) {
            exit("spurroad: " + e.getMessage(), EXIT_FAILURE);
        }
    }

    private static void run(Command command) throws IOException, InterruptedException {
        switch (command) {
            case SERVE -> new ProxyProcess().run();
            case WARM_UP -> warmUp();
            case SIMULATOR -> simulate();
        }
    }

    private static void warmUp() throws InterruptedException {
        EventLog log = new EventLog();
        ProxyConfiguration configuration = ProxyConfiguration.fromEnvironment(System.getenv());
        new WarmUp(configuration).run(new Threads(log), log, new Clock(), new StartBudget().warmUpMillis());
    }

    private static void simulate() throws IOException {
        DataInputStream in = new DataInputStream(new BufferedInputStream(System.in, INPUT_BUFFER_BYTES));
        new SimulatorAdapter(in, System.out).run();
    }

    private static void exit(String line, int code) {
        System.err.println(line);
        System.exit(code);
    }
}
