package spurroad.configuration;

import java.net.InetSocketAddress;
import java.util.Map;
import spurroad.protocol.EndpointList;
import spurroad.protocol.ProtocolException;

/** Reads the fields of a parsed JSON object; throws {@link InvalidSettingException} on an invalid value. */
final class JsonFields {
    private JsonFields() {}

    static Map<?, ?> object(Object json, String key) {
        if (json instanceof Map<?, ?> object) {
            return object;
        }
        throw new InvalidSettingException(key + (json == null ? " is missing" : " is not an object"));
    }

    static String text(Map<?, ?> object, String key) {
        if (object.get(key) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new InvalidSettingException(key + (object.get(key) == null ? " is missing" : " is not a text"));
    }

    static InetSocketAddress address(Map<?, ?> object, String key) {
        try {
            return EndpointList.parseAddress(text(object, key));
        } catch (ProtocolException e) {
            throw new InvalidSettingException(key + ": " + e.getMessage());
        }
    }

    static long hexadecimal(Map<?, ?> object, String key) {
        try {
            return Long.parseUnsignedLong(text(object, key), 16);
        } catch (NumberFormatException e) {
            throw new InvalidSettingException(key + " is not a number of up to 16 hexadecimal digits");
        }
    }

    /**
     * Reads a number, or returns the default if the field is absent.
     *
     * @param path the path of the object with a trailing dot, for the error message
     */
    static double number(Map<?, ?> object, String path, String key, double defaultValue, double min) {
        Object value = object.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Double number && number >= min && number <= Integer.MAX_VALUE) {
            return number;
        }
        throw new InvalidSettingException(path + key + " is not a number from " + (long) min + " on");
    }
}
