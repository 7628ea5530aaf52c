package spurroad.testbed.capacity;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import spurroad.protocol.ByteSource;
import spurroad.protocol.EndpointList;
import spurroad.protocol.Http;
import spurroad.protocol.Json;
import spurroad.protocol.ProtocolException;

/** What reading discovery's list costs a proxy: a whole one by its length, and one change. */
final class ListReading implements Measure {
    // columns
    static final int BYTES = 0;
    static final int CPU = 1;
    static final int ALLOCATED = 2;
    static final int CHANGE_BYTES = 3;
    static final int CHANGE_CPU = 4;
    static final int TAKEN = 5;

    @Override
    public String name() {
        return "list";
    }

    @Override
    public String title() {
        return "A proxy reads discovery's list (JSON)";
    }

    @Override
    public String sizeName() {
        return "nodes";
    }

    @Override
    public List<Column> columns() {
        return List.of(new Column("whole list", "KB"), new Column("read and parsed", "ms"),
            new Column("allocated by that", "KB"), new Column("list of one change", "bytes"),
            new Column("read and parsed, one change", "us"),
            new Column("line is taken (1) or too long (0)", ""));
    }

    @Override
    public List<Integer> sizes(MeasurementBudget budget) {
        return NodeCounts.of(budget);
    }

    @Override
    public List<Double> run(int nodes, MeasurementBudget budget) {
        EndpointList.EndpointNames names = SyntheticFleet.names();
        byte[] whole = line(0, nodes, true);
        byte[] change = line(nodes - 1, 1, false);
        boolean taken = isTaken(whole);
        Meter.Cost wholeCost = Meter.perCall(budget, () -> parse(whole, taken, names));
        Meter.Cost changeCost = Meter.perCall(budget, () -> parse(change, true, names));
        return List.of(whole.length / 1e3, wholeCost.cpuMillis(), wholeCost.kilobytes(),
            (double) change.length,
            changeCost.cpuMicros(), taken ? 1.0 : 0.0);
    }

    private static byte[] line(int from, int count, boolean whole) {
        return (SyntheticFleet.listLine(from, count, 1, whole) + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Whether the proxy takes a line of that length. */
    private static boolean isTaken(byte[] line) {
        try {
            return Http.readListText(source(line)) != null;
        } catch (ProtocolException e) {
            return false;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * As the proxy's watch does it; a line that it refuses is parsed all the same, to show what it would
     * cost.
     */
    private static void parse(byte[] line, boolean taken, EndpointList.EndpointNames names) {
        try {
            String text = taken ? Http.readListText(source(line))
                : new String(line, StandardCharsets.ISO_8859_1);
            EndpointList.read(Json.read(text), names);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static ByteSource source(byte[] line) {
        return new ByteSource(new ByteArrayInputStream(line));
    }
}
