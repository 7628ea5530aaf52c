package spurroad.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import spurroad.model.LoadReport;

/** Parses comma-separated {@code name=value} pairs, such as {@code inflight=7,queue=2}. */
public final class KeyValueList {
    private static final double MAX_REPORTED_REQUESTS = 1e6; // implausible above: read as unknown

    private KeyValueList() {}

    /** Returns the pairs in their order, without surrounding blanks; other entries are skipped. */
    public static Map<String, String> parse(String text) {
        Map<String, String> pairs = new LinkedHashMap<>();
        for (String pair : text.split(",")) {
            int separator = pair.indexOf('=');
            if (separator > 0) {
                pairs.put(pair.substring(0, separator).strip(), pair.substring(separator + 1).strip());
            }
        }
        return pairs;
    }

    /** Returns the load report of name-value pairs; names are those of the protocol or of the settings. */
    public static LoadReport toLoadReport(Map<String, String> report) {
        return new LoadReport(requestCount(report, "inflight", "rif"), requestCount(report, "queue", "q"));
    }

    private static double requestCount(Map<String, String> report, String name, String settingsName) {
        String text = report.getOrDefault(name, report.get(settingsName));
        double count = text == null ? Double.NaN : NumberParser.parseDecimal(text);
        return count >= 0 && count <= MAX_REPORTED_REQUESTS ? count : Double.NaN;
    }
}
