package spurroad.wirehost;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spurroad.model.DedupScope;
import spurroad.model.Deployment;
import spurroad.model.Effect;
import spurroad.model.KindId;
import spurroad.model.Track;

/** The settings lines that an instance is launched with, read into the project's words. */
final class StartLines {
    private static final long NS_PER_US = 1_000L;
    private final Map<String, String> values = new HashMap<>();
    final List<String> reportColumns;
    /** Whether list entries carry a steady size. */
    final boolean weighted;

    StartLines(String text) {
        for (String line : text.split("\n")) {
            int cut = line.indexOf('=');
            if (cut > 0) {
                values.put(line.substring(0, cut).strip(), line.substring(cut + 1).strip());
            }
        }
        String weights = values.getOrDefault("weights", "off");
        weighted = weights.equals("nominal") || weights.equals("rough");
        String columns = values.getOrDefault("report.columns", "");
        reportColumns = columns.isEmpty() ? List.of() : List.of(columns.split(","));
    }

    Deployment deployment() {
        List<Track> tracks = new ArrayList<>();
        for (int i = 0, n = (int) need("tracks.count"); i < n; i++) {
            tracks.add(track("tracks." + i + "."));
        }
        double proxies = Math.max(1, number("balancers", 1));
        List<Double> paces = new ArrayList<>();
        for (int i = 0, n = (int) number("projects.count", 0); i < n; i++) {
            paces.add(need("projects." + i + ".allowancePerS") / proxies);
        }
        boolean aside = values.getOrDefault("familyInfo.mode", "through").equals("aside");
        int originKind = (int) number("familyInfo.originKind", -1);
        return new Deployment(List.copyOf(tracks), List.copyOf(paces),
            aside && originKind >= 0 ? new KindId(originKind) : null,
            values.getOrDefault("discovery", "pushed").equals("on_request"),
            flag("allowed.probes"), flag("allowed.cancel"),
            flag("allowed.retryAfter") ? time("allowed.maxRetryAfterUs", 0) : 0,
            Math.max(1, (int) number("allowed.mostExecutions", 1)),
            number("obligations.startCapacity", 1), time("obligations.coldUs", 0),
            time("tickUs", 0), time("allowed.idleCloseUs", Long.MAX_VALUE / NS_PER_US / 4), idleQueries(proxies),
            flag("allowed.probes") && (reportColumns.contains("rif") || reportColumns.contains("q")));
    }

    /** A handshake is priced for each query, an open connection for each hundred of them a node. */
    private double idleQueries(double proxies) {
        double open = number("deductions.connection", 0);
        return open > 0 ? number("deductions.handshake", 0) / open * 100 / proxies : Double.MAX_VALUE;
    }

    private Track track(String at) {
        Effect effect = switch (word(at + "effect")) {
            case "retryable" -> Effect.IDEMPOTENT;
            case "dedup" -> Effect.DEDUPLICATED;
            case "fragile" -> Effect.NON_IDEMPOTENT;
            default -> throw new WireException("setting " + at + "effect has an unknown value");
        };
        DedupScope scope = switch (values.getOrDefault(at + "dedupScope", "cell")) {
            case "all" -> DedupScope.ALL;
            case "zone" -> DedupScope.ZONE;
            default -> DedupScope.CELL;
        };
        return new Track(effect, scope, time(at + "dedupWindowUs", 0),
            (long) need(at + "sloTimeUs") * NS_PER_US,
            number(at + "aimStretch", 0), number(at + "importance", 1), number(at + "tardyImportance", 0));
    }

    private String word(String path) {
        String value = values.get(path);
        if (value == null) {
            throw new WireException("setting " + path + " is missing");
        }
        return value;
    }

    private double need(String path) {
        word(path);
        return number(path, 0);
    }

    private double number(String path, double otherwise) {
        String value = values.get(path);
        if (value == null) {
            return otherwise;
        }
        try {
            double read = Double.parseDouble(value);
            if (Double.isFinite(read)) {
                return read;
            }
        } catch (NumberFormatException e) {
            // told below, as for a value that is not finite
        }
        throw new WireException("setting " + path + " is not a number");
    }

    private long time(String path, long otherwise) {
        return (long) (number(path, otherwise) * NS_PER_US);
    }

    private boolean flag(String path) {
        return Boolean.parseBoolean(values.getOrDefault(path, "false"));
    }
}
