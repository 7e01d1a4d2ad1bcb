import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer for the stand-ins. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isBlank() ? new LinkedHashMap<>() : (Map<String, Object>) read(text);
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> fields = new LinkedHashMap<>();
            at++;
            space();
            while (text.charAt(at) != '}') {
                String name = string();
                space();
                at++;
                fields.put(name, value());
                space();
                if (text.charAt(at) == ',') {
                    at++;
                    space();
                }
            }
            at++;
            return fields;
        }
        if (c == '[') {
            List<Object> items = new ArrayList<>();
            at++;
            space();
            while (text.charAt(at) != ']') {
                items.add(value());
                space();
                if (text.charAt(at) == ',') {
                    at++;
                    space();
                }
            }
            at++;
            return items;
        }
        if (c == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        if (word.equals("true") || word.equals("false")) {
            return Boolean.valueOf(word);
        }
        if (word.equals("null")) {
            return null;
        }
        if (word.matches("-?[0-9]+")) {
            return Long.valueOf(word);
        }
        return Double.valueOf(word);
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                char escaped = text.charAt(at++);
                switch (escaped) {
                    case 'n' -> out.append('\n');
                    case 't' -> out.append('\t');
                    case 'r' -> out.append('\r');
                    case 'u' -> {
                        out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> out.append(escaped);
                }
            } else {
                out.append(c);
            }
        }
        at++;
        return out.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> each : map.entrySet()) {
                out.append(comma);
                write(each.getKey().toString(), out);
                out.append(':');
                write(each.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String comma = "";
            for (Object each : list) {
                out.append(comma);
                write(each, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String text) {
            out.append('"').append(text.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
        } else {
            out.append(value);
        }
    }
}
