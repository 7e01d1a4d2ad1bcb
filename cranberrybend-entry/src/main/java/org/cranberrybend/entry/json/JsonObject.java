package org.cranberrybend.entry.json;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A JSON object with type-checked access to its fields. Fields that are not accessed are ignored. Immutable. */
public final class JsonObject {
    /** Largest number up to which a fraction such as 2.0 is an exact integer. */
    private static final double MAX_EXACT_INTEGER = 1L << 53;

    private final String path;
    private final Map<String, Object> fields;

    JsonObject(String path, Map<String, Object> fields) {
        this.path = path;
        this.fields = fields;
    }

    /** Returns the names of all fields in document order. */
    public Set<String> names() {
        return fields.keySet();
    }

    /** Returns whether the field is present and not null. */
    public boolean has(String name) {
        return fields.get(name) != null;
    }

    /** Returns a string field, which must be present and not empty. */
    public String string(String name) throws JsonFormatException {
        Object value = fields.get(name);
        if (value instanceof String && !((String) value).isEmpty()) {
            return (String) value;
        }
        throw typeError(name, "a non-empty string");
    }

    /** Returns a string field, or the default if the field is absent or null. */
    public String string(String name, String defaultValue) throws JsonFormatException {
        return has(name) ? string(name) : defaultValue;
    }

    /**
     * Returns an address of the form {@code ip:port}. Names are refused: resolving them would block the event loop.
     */
    public InetSocketAddress address(String name) throws JsonFormatException {
        return address(name, string(name));
    }

    /** Returns an array of addresses; empty if the field is absent or null. */
    public List<InetSocketAddress> addresses(String name) throws JsonFormatException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : strings(name)) {
            addresses.add(address(name, text));
        }
        return addresses;
    }

    private InetSocketAddress address(String name, String text) throws JsonFormatException {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon));
        if (!NetUtil.isValidIpV4Address(host)) {
            throw typeError(name, "an address of the form ip:port");
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port == 0) {
                throw typeError(name, "an address with a port");
            }
            return new InetSocketAddress(host, port);
        } catch (IllegalArgumentException e) {
            throw typeError(name, "an address of the form ip:port");
        }
    }

    /** Returns a string field, which may be empty; an empty string if the field is absent or null. */
    public String text(String name) throws JsonFormatException {
        return "".equals(fields.get(name)) ? "" : string(name, "");
    }

    /** Returns an integer field, which must be present. A fraction with an integral value such as 2.0 is accepted. */
    public long integer(String name) throws JsonFormatException {
        Object value = fields.get(name);
        if (value instanceof Long) {
            return (Long) value;
        }
        if (value instanceof Double && isExactInteger((Double) value)) {
            return ((Double) value).longValue();
        }
        throw typeError(name, "an integer");
    }

    private static boolean isExactInteger(double value) {
        return value == Math.rint(value) && Math.abs(value) <= MAX_EXACT_INTEGER;
    }

    /** Returns an integer field, which must be present and in the given range. */
    public long integer(String name, long min, long max) throws JsonFormatException {
        long value = integer(name);
        if (value < min || value > max) {
            throw typeError(name, "an integer from " + min + " to " + max);
        }
        return value;
    }

    /** Returns an integer field, or the default if the field is absent or null. */
    public long integer(String name, long defaultValue) throws JsonFormatException {
        return has(name) ? integer(name) : defaultValue;
    }

    /** Returns a number field, or the default if the field is absent or null. */
    public double decimal(String name, double defaultValue) throws JsonFormatException {
        Object value = fields.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number) {
            return ((Number) value).doubleValue();
        }
        throw typeError(name, "a number");
    }

    /** Returns a number field, which must not be negative; 0 if the field is absent or null. */
    public double notNegative(String name) throws JsonFormatException {
        double value = decimal(name, 0);
        if (value < 0) {
            throw typeError(name, "a number that is not negative");
        }
        return value;
    }

    /** Returns a boolean field, or the default if the field is absent or null. */
    public boolean booleanValue(String name, boolean defaultValue) throws JsonFormatException {
        Object value = fields.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean) {
            return (Boolean) value;
        }
        throw typeError(name, "true or false");
    }

    /** Returns an object field, which must be present. */
    public JsonObject object(String name) throws JsonFormatException {
        return optionalObject(name).orElseThrow(() -> typeError(name, "an object"));
    }

    /** Returns an object field; empty if the field is absent or null. */
    public Optional<JsonObject> optionalObject(String name) throws JsonFormatException {
        Object value = fields.get(name);
        return value == null ? Optional.empty() : Optional.of(asObject(value, name));
    }

    /** Returns an array of objects; empty if the field is absent or null. */
    public List<JsonObject> objects(String name) throws JsonFormatException {
        List<JsonObject> objects = new ArrayList<>();
        for (Object element : array(name)) {
            objects.add(asObject(element, name + "[" + objects.size() + "]"));
        }
        return objects;
    }

    /** Returns an array of strings; empty if the field is absent or null. */
    public List<String> strings(String name) throws JsonFormatException {
        List<String> strings = new ArrayList<>();
        for (Object element : array(name)) {
            if (!(element instanceof String)) {
                throw typeError(name, "an array of strings");
            }
            strings.add((String) element);
        }
        return strings;
    }

    /** Returns an array of strings; empty if the field is absent. A field that is null is refused. */
    public List<String> stringsIfPresent(String name) throws JsonFormatException {
        if (fields.containsKey(name) && !has(name)) {
            throw typeError(name, "an array of strings");
        }
        return strings(name);
    }

    private List<?> array(String name) throws JsonFormatException {
        Object value = fields.get(name);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List) {
            return (List<?>) value;
        }
        throw typeError(name, "an array");
    }

    @SuppressWarnings("unchecked")
    private JsonObject asObject(Object value, String name) throws JsonFormatException {
        if (value instanceof Map) {
            return new JsonObject(path + name + ".", (Map<String, Object>) value);
        }
        throw typeError(name, "an object");
    }

    private JsonFormatException typeError(String name, String description) {
        return new JsonFormatException("field " + path + name + " must be " + description);
    }
}
