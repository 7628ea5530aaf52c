package spurroad.testbed.net;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;
import spurroad.testbed.model.ServerRequest;
import spurroad.testbed.scenario.Scenario;

/** Reads the execution that a proxy asks for from the key, the id and the name-value list of its command. */
final class CommandFields {
    private static final Pattern KEY = Pattern.compile("k[0-9]{1,9}");
    private static final String REQUEST_CLASS = "c";
    private static final String IDEMPOTENCY_KEY = "k";

    private final Map<String, Scenario.Track> requestClasses = new HashMap<>();

    CommandFields(Scenario scenario) {
        scenario.load().tracks().forEach(c -> requestClasses.put(c.name(), c));
    }

    /** Returns the execution; null if no client of this scenario sends such a command. */
    ServerRequest request(String key, String id, String list, boolean newConnection) {
        Map<String, String> fields = parse(list);
        Scenario.Track requestClass = requestClasses.get(fields.get(REQUEST_CLASS));
        if (requestClass == null || !KEY.matcher(key).matches() || id.isEmpty()) {
            return null;
        }
        int keyNumber = Integer.parseInt(key.substring(1));
        String idempotencyKey = fields.getOrDefault(IDEMPOTENCY_KEY, "");
        return new ServerRequest(id, keyNumber, requestClass, idempotencyKey, newConnection);
    }

    private static Map<String, String> parse(String list) {
        Map<String, String> fields = new HashMap<>();
        for (String pair : list.split(",")) {
            int separator = pair.indexOf('=');
            if (separator > 0) {
                fields.put(pair.substring(0, separator), pair.substring(separator + 1));
            }
        }
        return fields;
    }
}
