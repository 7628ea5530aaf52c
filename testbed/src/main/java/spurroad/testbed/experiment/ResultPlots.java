package spurroad.testbed.experiment;

import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;
import spurroad.testbed.scenario.Scenario.Fault;

/** Plots of results as SVG. */
final class ResultPlots {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 260;
    private static final double MIN_LOAD_RATIO = 1.2; // loads that differ by less are one load
    private static final double FAULT_MARK_STEP = 0.03; // fraction of the largest value
    private static final int FAULT_MARK_WIDTH = 5;
    private static final double MIN_HEIGHT = 1e-9; // of the axis, where all values are zero
    private static final double NANOS_PER_SECOND = 1e9;

    private ResultPlots() {}

    /** Returns a plot of a value by second, a line for each result, with the times of faults marked below. */
    static String bySecond(String title, List<Result> results, List<Fault> faults,
                           ToDoubleFunction<Result.Second> value)
        throws IOException {
        XYChart chart = chart(title, "s");
        double max = 0;
        for (Result result : results) {
            double[] y = result.seconds().stream().mapToDouble(value).toArray();
            double[] x = new double[y.length];
            for (int i = 0; i < y.length; i++) {
                x[i] = i;
                max = Math.max(max, y[i]);
            }
            if (x.length > 0) {
                chart.addSeries(result.build() + ", " + result.seed(), x, y).setMarker(SeriesMarkers.NONE);
            }
        }
        for (int i = 0; i < faults.size(); i++) {
            markFault(chart, i + 1, faults.get(i), max);
        }
        return svg(chart);
    }

    private static void markFault(XYChart chart, int number, Fault fault, double max) {
        double start = fault.atNs() / NANOS_PER_SECOND;
        double end = start + fault.forNs() / NANOS_PER_SECOND;
        double level = -FAULT_MARK_STEP * number * Math.max(MIN_HEIGHT, max);
        chart.addSeries(number + ": " + fault.kind(), new double[] {start, end}, new double[] {level, level})
            .setMarker(SeriesMarkers.NONE).setLineWidth(FAULT_MARK_WIDTH);
    }

    /** Returns a plot of offered against served load for each scenario that was run with several loads. */
    static List<String> byLoad(List<Result> results) throws IOException {
        // by scenario without its overrides, then by build: requests in time by those offered, both a second
        Map<String, Map<String, TreeMap<Double, Double>>> byScenario = new LinkedHashMap<>();
        for (Result result : results) {
            double seconds = Math.max(1, result.seconds().size());
            double offered = result.seconds().stream().mapToLong(Result.Second::due).sum() / seconds;
            double inTime = result.seconds().stream().mapToLong(Result.Second::inTime).sum() / seconds;
            byScenario.computeIfAbsent(nameWithoutOverrides(result), name -> new LinkedHashMap<>())
                .computeIfAbsent(result.build(), build -> new TreeMap<>()).put(offered, inTime);
        }
        byScenario.values().forEach(builds -> builds.values()
            .removeIf(points -> points.lastKey() < MIN_LOAD_RATIO * points.firstKey()));
        List<String> plots = new ArrayList<>();
        for (Map.Entry<String, Map<String, TreeMap<Double, Double>>> scenario : byScenario.entrySet()) {
            XYChart chart = chart(scenario.getKey() + ": in time a second against offered a second",
                "offered a second");
            scenario.getValue().forEach((build, points) -> chart.addSeries(build,
                new ArrayList<>(points.keySet()), new ArrayList<>(points.values())));
            plots.add(svg(chart));
        }
        return plots;
    }

    private static String nameWithoutOverrides(Result result) {
        int brace = result.scenario().indexOf('{');
        return brace < 0 ? result.scenario() : result.scenario().substring(0, brace);
    }

    private static XYChart chart(String title, String axisTitle) {
        XYChart chart = new XYChartBuilder().width(WIDTH_PIXELS).height(HEIGHT_PIXELS).title(title)
            .xAxisTitle(axisTitle).build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE)
            .setChartBackgroundColor(Color.WHITE);
        return chart;
    }

    /** Returns a chart as an SVG element; an empty text for a chart without data. */
    private static String svg(XYChart chart) throws IOException {
        if (chart.getSeriesMap().isEmpty()) {
            return "";
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, bytes, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        String text = bytes.toString(StandardCharsets.UTF_8);
        return text.substring(Math.max(0, text.indexOf("<svg"))) + '\n';
    }
}
