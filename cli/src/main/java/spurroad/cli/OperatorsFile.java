package spurroad.cli;

import java.nio.file.Path;
import spurroad.toml.FaultyFileException;
import spurroad.toml.Table;
import spurroad.toml.TomlFile;

/**
 * What operators set beside the platform's configuration, in a file of their own. Each feature has its table;
 * without it the feature is off.
 *
 * @param logFormat how log lines are written
 */
record OperatorsFile(LogFormat logFormat) {
    /** One line each, or one JSON object a line with the same fields. */
    enum LogFormat { PLAIN, JSON }

    /** Reads and checks a file; all that is wrong with it is told at once. */
    static OperatorsFile read(Path path) throws FaultyFileException {
        TomlFile file = TomlFile.read(path);
        Table log = file.root().table("log");
        OperatorsFile read = new OperatorsFile(log.choice("format", LogFormat.class, LogFormat.PLAIN));
        file.check();
        return read;
    }

    /** Switches on what it says, for this process; before the proxy starts. */
    void apply() {
        System.setProperty("spurroad.log", Table.name(logFormat));
    }
}
