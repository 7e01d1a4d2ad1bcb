package org.cranberrybend.entry.json;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A JSON object with checked access to its fields. Unknown fields are ignored; immutable. */
public final class JsonObject {
    private final String path;
    private final Map<String, Object> fields;

    JsonObject(String path, Map<String, Object> fields) {
        this.path = path;
        this.fields = fields;
    }

    /** Returns the names of all fields, in the order of the text. */
    public Set<String> names() {
        return fields.keySet();
    }

    /** Returns whether the field is present and not null. */
    public boolean has(String name) {
        return fields.get(name) != null;
    }

    /** Returns a text that must be present and not empty. */
    public String string(String name) throws JsonFormatException {
        Object value = fields.get(name);
        if (value instanceof String && !((String) value).isEmpty()) {
            return (String) value;
        }
        throw expected(name, "a text that is not empty");
    }

    /** Returns a text, or the default if the field is absent. */
    public String string(String name, String absent) throws JsonFormatException {
        return has(name) ? string(name) : absent;
    }

    /** Returns an address of the form {@code host:port}; the host is an IP address. */
    public InetSocketAddress address(String name) throws JsonFormatException {
        return address(name, string(name));
    }

    /** Returns a list of addresses; empty if the field is absent. */
    public List<InetSocketAddress> addresses(String name) throws JsonFormatException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : strings(name)) {
            addresses.add(address(name, text));
        }
        return addresses;
    }

    private InetSocketAddress address(String name, String text) throws JsonFormatException {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    text.substring(0, Math.max(0, colon)), Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw expected(name, "an address with a port");
        }
    }

    /** Returns whether the field is an empty text. */
    public boolean isEmptyString(String name) {
        return "".equals(fields.get(name));
    }

    /** Returns a whole number that must be present. */
    public long integer(String name) throws JsonFormatException {
        Object value = fields.get(name);
        if (value instanceof Long) {
            return (Long) value;
        }
        if (value instanceof Double && ((Double) value) == Math.rint((Double) value)) {
            return ((Double) value).longValue();
        }
        throw expected(name, "a whole number");
    }

    /** Returns a whole number, or the default if the field is absent. */
    public long integer(String name, long absent) throws JsonFormatException {
        return has(name) ? integer(name) : absent;
    }

    /** Returns a number, or the default if the field is absent. */
    public double decimal(String name, double absent) throws JsonFormatException {
        Object value = fields.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof Number) {
            return ((Number) value).doubleValue();
        }
        throw expected(name, "a number");
    }

    /** Returns a truth value, or the default if the field is absent. */
    public boolean booleanValue(String name, boolean absent) throws JsonFormatException {
        Object value = fields.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof Boolean) {
            return (Boolean) value;
        }
        throw expected(name, "true or false");
    }

    /** Returns an object that must be present. */
    public JsonObject object(String name) throws JsonFormatException {
        return optionalObject(name).orElseThrow(() -> expected(name, "an object"));
    }

    /** Returns an object if the field is present. */
    public Optional<JsonObject> optionalObject(String name) throws JsonFormatException {
        Object value = fields.get(name);
        return value == null ? Optional.empty() : Optional.of(asObject(value, name));
    }

    /** Returns a list of objects; empty if the field is absent. */
    public List<JsonObject> objects(String name) throws JsonFormatException {
        List<JsonObject> objects = new ArrayList<>();
        for (Object element : list(name)) {
            objects.add(asObject(element, name + "[" + objects.size() + "]"));
        }
        return objects;
    }

    /** Returns a list of texts; empty if the field is absent. */
    public List<String> strings(String name) throws JsonFormatException {
        List<String> texts = new ArrayList<>();
        for (Object element : list(name)) {
            if (!(element instanceof String)) {
                throw expected(name, "a list of texts");
            }
            texts.add((String) element);
        }
        return texts;
    }

    private List<?> list(String name) throws JsonFormatException {
        Object value = fields.get(name);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List) {
            return (List<?>) value;
        }
        throw expected(name, "a list");
    }

    @SuppressWarnings("unchecked")
    private JsonObject asObject(Object value, String name) throws JsonFormatException {
        if (value instanceof Map) {
            return new JsonObject(path + name + ".", (Map<String, Object>) value);
        }
        throw expected(name, "an object");
    }

    private JsonFormatException expected(String name, String what) {
        return new JsonFormatException("field " + path + name + " must be " + what);
    }
}
