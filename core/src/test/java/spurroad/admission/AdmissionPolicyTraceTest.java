package spurroad.admission;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Verifies that admission decisions are unchanged to the bit, like the load balancer's decision trace. */
public class AdmissionPolicyTraceTest {
    private static final int INTERVALS = 600;
    private static final long MS = 1_000_000L;

    @DataProvider
    Object[][] traces() {
        return new Object[][] {
            {"one class, no tenants", new double[] {1}, new double[] {},
                "557f8c88214a45676f151352dd709e5fa8400d85d920d123bb28300d9c53146a"},
            {"three classes, two tenants", new double[] {1, 5, 5}, new double[] {20, 200},
                "3f2cfbca319a4a23352b00a4e8a5fa7a71c38ce021af5d942ef7df4d8a1ea8c5"},
            {"many of both", new double[] {3, 1, 8, 8, 2}, new double[] {1, 2, 5, 50, 500},
                "e66398ccd311528e4ed8513a522232aa84ccc2fdabb046a75d833155dc8477d6"},
        };
    }

    @Test(dataProvider = "traces")
    public void makesUnchangedDecisions(String name, double[] weights, double[] quotas, String digest)
        throws Exception {
        Random random = new Random(name.length());
        AdmissionPolicy admission = new AdmissionPolicy(weights, quotas, 50 * MS, 500 * MS, 2_000 * MS, 7);
        StringBuilder trace = new StringBuilder();
        long now = 1_000 * MS;
        for (int interval = 0; interval < INTERVALS; interval++) {
            now += AdmissionPolicy.INTERVAL_NANOS;
            double load = interval / 100 % 2 == 0 ? 0.5 + random.nextDouble() : 0.2 + 3 * random.nextDouble();
            int requests = (int) (load * 40);
            for (int i = 0; i < requests; i++) {
                boolean admitted = admission.admits(random.nextInt(weights.length),
                    random.nextInt(quotas.length + 2) - 1);
                trace.append(admitted ? '+' : '-');
            }
            ResourceUsage usage = new ResourceUsage(interval % 50 == 0 ? Double.NaN : Math.min(1.05, load),
                (long) (load * 30 * MS), load / 4);
            boolean changed = admission.onInterval(now, usage, interval / 40 % 5 == 0);
            trace.append(' ').append(changed).append(' ').append(admission.level().ordinal()).append(' ')
                .append(admission.admittedFraction()).append(' ').append(admission.pressure()).append(' ')
                .append(admission.retryAfterNanos()).append('\n');
            if (interval % 150 == 149) {
                admission.configure(weights, quotas, (20 + interval) * MS, 300 * MS, 1_000 * MS);
            }
        }
        byte[] hash = MessageDigest.getInstance("SHA-256")
            .digest(trace.toString().getBytes(StandardCharsets.US_ASCII));
        assertEquals(HexFormat.of().formatHex(hash), digest, name);
    }
}
