package spurroad.testbed.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;

/** A series as a Markdown section: medians with their spread by size, then the slopes. */
public final class SeriesReport {
    private SeriesReport() {}

    /** The section; its heading is of the third level. */
    public static String markdown(Series series) {
        Measure measure = series.measure();
        List<String> headings = new ArrayList<>(List.of(measure.sizeName()));
        measure.columns().forEach(c -> headings.add(c.heading()));
        MarkdownTable table = new MarkdownTable(headings);
        for (int i = 0; i < series.sizes().size(); i++) {
            int place = i;
            table.row(cells(series, String.format(Locale.ROOT, "%,d", series.sizes().get(i)),
                column -> MarkdownTable.figure(series.median(place, column))
                    + " ±" + MarkdownTable.percent(series.spread(place, column) / 2)));
        }
        table.row(cells(series, "exponent, all sizes",
            c -> series.slope(c).map(SeriesReport::exponent).orElse("-")));
        table.row(cells(series, "exponent, last three",
            c -> series.slopeAtEnd(c).map(SeriesReport::exponent).orElse("-")));
        table.row(
            cells(series, "shape at the end", c -> series.slopeAtEnd(c).map(PowerLaw::shape).orElse("-")));
        return "### " + measure.title() + "\n\n`bin/spurroad scale " + measure.name() + "`; median of "
            + series.runs().get(0).size() + " runs, ± half of the range.\n\n" + table;
    }

    private static List<String> cells(Series series, String first, IntFunction<String> cell) {
        List<String> cells = new ArrayList<>(List.of(first));
        for (int column = 0; column < series.measure().columns().size(); column++) {
            cells.add(cell.apply(column));
        }
        return cells;
    }

    private static String exponent(PowerLaw law) {
        return String.format(Locale.ROOT, "%.2f", law.exponent());
    }
}
