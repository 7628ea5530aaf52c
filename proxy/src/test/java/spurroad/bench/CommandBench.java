package spurroad.bench;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import spurroad.admission.AdmissionPolicy;
import spurroad.admission.ResourceUsage;
import spurroad.protocol.ByteSource;
import spurroad.protocol.MetaCommand;
import spurroad.protocol.MetaResponse;

/**
 * Measures the processor time of a command in the proxy without sockets, with the virtual machine flags of
 * production: parsed, rejected at admission, or written for a cache node. {@code bin/bench} runs it; it is
 * not part of the tests.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 3,
    jvmArgs = {"-Xms64m", "-Xmx64m", "-Xmn40m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xbatch"})
public class CommandBench {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long MAX_QUEUE_DELAY_NANOS = 75 * NANOS_PER_MILLI;
    private static final long RETRY_AFTER_NANOS = 150 * NANOS_PER_MILLI;
    private static final long MAX_RETRY_AFTER_NANOS = 2_000 * NANOS_PER_MILLI;
    private static final long SEED = 7;
    private static final int OVERLOAD_INTERVALS = 100;
    private static final int REQUESTS_PER_INTERVAL = 20;
    private static final double OVERLOADED_CPU = 1.2; // of the limit
    private static final int FORWARDED_DEADLINE_MILLIS = 300;
    private static final int CACHED_REJECTIONS = 4096; // one for each millisecond of Retry-After
    private static final Map<String, Integer> REQUEST_CLASSES = Map.of("room-read", 0, "rent-post", 1);
    private static final Map<String, Integer> TENANTS = Map.of("acme", 0, "lanka", 1, "nallur-hostels", 2);

    private final byte[] command = ("mg 7f3a9c21e0b4d655 v O9b1f03aa5c7e2d41 "
        + "Pc=room-read,t=nallur-hostels,d=480,r=1,h=900\r\n")
        .getBytes(StandardCharsets.ISO_8859_1);
    private final ByteBuffer received = ByteBuffer.wrap(command);
    private final ByteSource in = new ByteSource();
    private final byte[][] rejections = new byte[CACHED_REJECTIONS][];
    private AdmissionPolicy admission;
    private MetaCommand parsed;

    /** Sets up an admission policy that rejects nearly every request. */
    @Setup(Level.Iteration)
    public void overloadAdmission() throws IOException {
        admission = new AdmissionPolicy(new double[] {1, 5}, new double[] {1e6, 1e6, 1e6},
            MAX_QUEUE_DELAY_NANOS, RETRY_AFTER_NANOS,
            MAX_RETRY_AFTER_NANOS, SEED);
        long now = 1;
        for (int i = 0; i < OVERLOAD_INTERVALS; i++) {
            for (int request = 0; request < REQUESTS_PER_INTERVAL; request++) {
                admission.admits(0, 2);
            }
            now += AdmissionPolicy.INTERVAL_NANOS;
            admission.onInterval(now, new ResourceUsage(OVERLOADED_CPU, 0, 0), false);
        }
        parsed = read();
    }

    private MetaCommand read() throws IOException {
        received.clear();
        in.feed(received);
        return in.readMessage(MetaCommand::read);
    }

    @Benchmark
    public MetaCommand takenApart() throws IOException {
        return read();
    }

    @Benchmark
    public byte[] turnedAway() throws IOException {
        MetaCommand next = read();
        int requestClass = REQUEST_CLASSES.getOrDefault(next.attribute("c"), -1);
        int tenant = TENANTS.getOrDefault(next.attribute("t"), -1);
        if (admission.admits(requestClass, tenant)) {
            return command;
        }
        int retryAfterMillis = (int) (admission.retryAfterNanos() / NANOS_PER_MILLI);
        byte[] rejection = rejections[retryAfterMillis];
        if (rejection == null) {
            rejection = MetaResponse.rejected(retryAfterMillis);
            rejections[retryAfterMillis] = rejection;
        }
        return rejection;
    }

    @Benchmark
    public byte[] writtenForANode() {
        return parsed.forEndpoint(FORWARDED_DEADLINE_MILLIS);
    }
}
