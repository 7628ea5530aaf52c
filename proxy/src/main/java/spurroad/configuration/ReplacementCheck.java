package spurroad.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that a configuration read at a reload has all keys of the current one, as a missing key indicates a
 * file that was not written completely. Request classes, tenants and the endpoints known at startup may be
 * added and removed.
 */
final class ReplacementCheck {
    private static final String KNOWN_ENDPOINTS = "known";

    private ReplacementCheck() {}

    /**
     * Compares two parsed files; throws {@link InvalidSettingException} at the first missing or invalid key.
     */
    static void check(Map<?, ?> inForce, Map<?, ?> next) {
        checkValue("", inForce, next);
    }

    private static void checkValue(String path, Object inForce, Object next) {
        if (inForce instanceof Map<?, ?> object) {
            checkObject(path, object, next);
        } else if (inForce instanceof List<?> list) {
            checkList(path, list, next);
        } else if (inForce != null && (next == null || next.getClass() != inForce.getClass())) {
            throw new InvalidSettingException(path + " is not of the kind that it was");
        }
    }

    private static void checkObject(String path, Map<?, ?> inForce, Object next) {
        Map<?, ?> replacement = JsonFields.object(next, path.isEmpty() ? "the whole" : path);
        String prefix = path.isEmpty() ? "" : path + ".";
        inForce.forEach((key, value) -> {
            if (!replacement.containsKey(key)) {
                throw new InvalidSettingException(
                    prefix + key + " is missing, which the settings in force have");
            }
            if (!key.equals(KNOWN_ENDPOINTS)) {
                checkValue(prefix + key, value, replacement.get(key));
            }
        });
    }

    private static void checkList(String path, List<?> inForce, Object next) {
        if (!(next instanceof List<?> replacement)) {
            throw new InvalidSettingException(path + " is not a list");
        }
        if (inForce.isEmpty()) {
            return;
        }
        Object common = commonFields(inForce);
        for (int i = 0; i < replacement.size(); i++) {
            checkValue(path + "." + i, common, replacement.get(i));
        }
    }

    /** Returns the fields that all objects of a list have; null if an entry is not an object. */
    private static Object commonFields(List<?> entries) {
        if (!entries.stream().allMatch(Map.class::isInstance)) {
            return null;
        }
        Map<Object, Object> common = new HashMap<>((Map<?, ?>) entries.get(0));
        entries.forEach(entry -> common.keySet().retainAll(((Map<?, ?>) entry).keySet()));
        return common;
    }
}
