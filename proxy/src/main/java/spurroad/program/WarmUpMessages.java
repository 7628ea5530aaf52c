package spurroad.program;

import spurroad.configuration.DeploymentSettings;
import spurroad.model.Effect;

/** The requests of the warm-up's clients and the responses of its endpoints. */
final class WarmUpMessages {
    private static final String VALUE = "8c1f30d27a5be964";
    private static final int KEYS = 256;
    private static final int REQUESTS_PER_WRITE = 16;
    private static final int READS_PER_MISS = 4;

    private final DeploymentSettings settings;

    WarmUpMessages(DeploymentSettings settings) {
        this.settings = settings;
    }

    /** Returns the request with the given number: mostly reads; some writes if the last class has them. */
    String request(long number) {
        int lastClass = settings.requestClassNames.size() - 1;
        int requestClass = number % REQUESTS_PER_WRITE == 0 ? lastClass : 0;
        Effect effect = settings.deployment.requestClasses().get(requestClass).effect();
        String tenant = settings.tenantNames.isEmpty() ? "" : ",t=" + settings.tenantNames.get(0);
        String idempotencyKey = effect == Effect.DEDUPLICATED ? ",k=" + number : "";
        String flags = " O" + Long.toHexString(number)
            + " Pc=" + settings.requestClassNames.get(requestClass) + tenant + ",d=5000" + idempotencyKey
            + ",h=1000,size=1.0\r\n";
        return effect == Effect.IDEMPOTENT ? "mg " + number % KEYS + " v" + flags
            : "ms " + number % KEYS + " " + VALUE.length() + flags + VALUE + "\r\n";
    }

    /** Returns the response of a cache node or of the origin to a message of the proxy. */
    static String endpointResponse(String message) {
        if (message.startsWith("stats")) {
            return "STAT rate 1.0\r\nSTAT inflight 1\r\nEND\r\n";
        }
        boolean read = message.startsWith("mg ");
        boolean write = message.startsWith("ms ");
        if (!read && !write) {
            return "HTTP/1.1 200 OK\r\nContent-Length: " + VALUE.length() + "\r\n\r\n" + VALUE;
        }
        String[] tokens = message.split(" ");
        String key = tokens[1];
        String id = tokens[3];
        if (write) {
            return "HD " + id + " c1\r\n";
        }
        boolean miss = key.hashCode() % READS_PER_MISS == 0;
        return miss ? "EN " + id + " h0\r\n"
            : "VA " + VALUE.length() + " " + id + " h1\r\n" + VALUE + "\r\n";
    }
}
