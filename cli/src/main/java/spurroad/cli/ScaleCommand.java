package spurroad.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spurroad.testbed.capacity.CapacityReport;
import spurroad.testbed.capacity.FleetPlan;
import spurroad.testbed.capacity.Measure;
import spurroad.testbed.capacity.MeasurementBudget;
import spurroad.testbed.capacity.Measures;
import spurroad.testbed.capacity.Results;
import spurroad.testbed.capacity.Series;
import spurroad.testbed.capacity.SeriesReport;

/** Measures how state, messages, CPU time and memory of each role grow; prints Markdown. */
@Command(name = "scale", mixinStandardHelpOptions = true, description = {
    "Measures how state, messages, CPU time and memory grow with nodes and proxies; prints Markdown.",
    "Without a name, takes all measurements (some minutes)."})
final class ScaleCommand implements Callable<Integer> {
    @Parameters(arity = "0..*", paramLabel = "NAME",
        description = "One of requests, changes, list, peers, control, subscribers, watches.")
    private List<String> names = new ArrayList<>();
    @Option(names = "--capacity",
        description = "Computes the resources that the expected fleet needs; requires all measurements.")
    private boolean capacity;
    @Option(names = "--short", description = "Small sizes, one run each: shows only the shape of the growth.")
    private boolean usesShortBudget;
    @Option(names = "--save", paramLabel = "FILE", description = "Stores the results in a file.")
    private Path outputFile;
    @Option(names = "--results", paramLabel = "FILE",
        description = "Uses stored results; measures nothing.")
    private Path inputFile;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (capacity && !names.isEmpty()) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--capacity needs all measurements");
        }
        PrintWriter out = spec.commandLine().getOut();
        Results results = inputFile == null ? measure(out) : Results.read(inputFile);
        if (inputFile != null) {
            results.all().forEach(series -> out.println(SeriesReport.markdown(series)));
        }
        if (outputFile != null) {
            results.write(outputFile);
        }
        if (capacity) {
            out.println(CapacityReport.markdown(FleetPlan.expected(), results));
        }
        return 0;
    }

    /** Takes the measurements and prints each series as soon as it is complete. */
    private Results measure(PrintWriter out) throws Exception {
        Results results = new Results();
        for (Measure measure : chosenMeasures()) {
            Series series = Series.of(measure,
                usesShortBudget ? MeasurementBudget.SHORT : MeasurementBudget.FULL);
            results.add(series);
            out.println(SeriesReport.markdown(series));
            out.flush();
        }
        return results;
    }

    private List<Measure> chosenMeasures() {
        return names.isEmpty() ? Measures.all() : names.stream().map(this::measureNamed).toList();
    }

    private Measure measureNamed(String name) {
        return Measures.named(name).orElseThrow(
            () -> new CommandLine.ParameterException(spec.commandLine(), "there is no measurement " + name));
    }
}
