package spurroad.cli;

import java.nio.file.Path;
import spurroad.toml.InvalidFileException;
import spurroad.toml.TomlFile;
import spurroad.toml.TomlTable;

/**
 * Settings of the operators, kept in a file apart from the proxy configuration. Each feature has a table of
 * its own; without that table the feature is off.
 *
 * @param logFormat format of the log lines
 */
record OperatorsFile(LogFormat logFormat) {
    /** The system property that chooses the appender of logback.xml. */
    private static final String LOG_FORMAT_PROPERTY = "spurroad.log";

    /** Plain text lines, or one JSON object per line with the same fields. */
    enum LogFormat { PLAIN, JSON }

    /** Reads and validates a file; the exception carries all errors found in it. */
    static OperatorsFile read(Path path) throws InvalidFileException {
        TomlFile file = TomlFile.read(path);
        TomlTable log = file.root().getTable("log");
        LogFormat logFormat = log.getEnum("format", LogFormat.class, LogFormat.PLAIN);
        file.validate();
        return new OperatorsFile(logFormat);
    }

    /** Applies the settings to this process; must be called before the proxy starts. */
    void apply() {
        System.setProperty(LOG_FORMAT_PROPERTY, TomlTable.enumName(logFormat));
    }
}
