package org.cranberrybend.entry.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Oracle of the fuzz test: reads the first response of an input that ends, by the syntax of the standard only. It returns
 * nothing for an input that does not begin with a complete response.
 *
 * @param status status of the final response
 * @param fields its fields as they were received, each as {@code name=value}
 */
record ReferenceResponse(int status, String fields, String body) {
    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";
    private static final Pattern FIELD = Pattern.compile("(" + TOKEN + "):[ \\t]*(" + TEXT + "?)[ \\t]*\\r\\n");
    private static final Pattern HEAD = Pattern.compile(
            "HTTP/1\\.([01]) ([1-5][0-9][0-9])( " + TEXT + ")?\\r\\n((?:" + TOKEN + ":" + TEXT + "\\r\\n)*)\\r\\n");
    private static final Pattern SIZE = Pattern.compile("([0-9A-Fa-f]{1,15})(;" + TEXT + ")?\\r\\n");
    /** A body is complete with its chunk of size zero; the trailers after it may be cut off. */
    private static final Pattern TRAILER =
            Pattern.compile("(?:" + TOKEN + ":" + TEXT + "\\r\\n)*(?:\\r\\n|[^\\n]*\\z)");

    private static final Pattern DIGITS = Pattern.compile("[0-9]{1,18}");

    static Optional<ReferenceResponse> first(byte[] input) {
        return read(new String(input, StandardCharsets.ISO_8859_1));
    }

    private static Optional<ReferenceResponse> read(String input) {
        Matcher head = HEAD.matcher(input);
        if (!head.lookingAt()) {
            return Optional.empty();
        }
        int status = Integer.parseInt(head.group(2));
        String fields = fields(head.group(4));
        String rest = input.substring(head.end());
        String[] lengths = values(head.group(4), "content-length");
        String[] codings = values(head.group(4), "transfer-encoding");
        if (status < 200) {
            boolean framed = lengths.length + codings.length > 0;
            return framed || status == 101 ? Optional.empty() : read(rest);
        }
        if (lengths.length + codings.length > 1) {
            return Optional.empty();
        }
        Optional<String> body;
        if (codings.length == 1) {
            boolean known =
                    codings[0].equalsIgnoreCase("chunked") && head.group(1).equals("1") && status != 204;
            body = known ? chunks(rest) : Optional.empty();
        } else if (lengths.length == 1) {
            body = sized(status, lengths[0], rest);
        } else {
            body = Optional.of(rest);
        }
        boolean withoutBody = status == 204 || status == 304;
        return body.map(text -> new ReferenceResponse(status, fields, withoutBody ? "" : text));
    }

    private static Optional<String> sized(int status, String length, String rest) {
        if (!DIGITS.matcher(length).matches() || status == 204 && Long.parseLong(length) > 0) {
            return Optional.empty();
        }
        long bytes = status == 304 ? 0 : Long.parseLong(length);
        return bytes > rest.length() ? Optional.empty() : Optional.of(rest.substring(0, (int) bytes));
    }

    private static Optional<String> chunks(String input) {
        StringBuilder body = new StringBuilder();
        String rest = input;
        Matcher size = SIZE.matcher(rest);
        while (size.lookingAt()) {
            long bytes = Long.parseLong(size.group(1), 16);
            rest = rest.substring(size.end());
            if (bytes == 0) {
                return TRAILER.matcher(rest).lookingAt() ? Optional.of(body.toString()) : Optional.empty();
            }
            if (bytes > rest.length() - 2 || !rest.startsWith("\r\n", (int) bytes)) {
                return Optional.empty();
            }
            body.append(rest, 0, (int) bytes);
            rest = rest.substring((int) bytes + 2);
            size = SIZE.matcher(rest);
        }
        return Optional.empty();
    }

    private static String fields(String lines) {
        StringBuilder all = new StringBuilder();
        Matcher field = FIELD.matcher(lines);
        while (field.find()) {
            all.append(field.group(1)).append('=').append(field.group(2)).append('\n');
        }
        return all.toString();
    }

    private static String[] values(String lines, String name) {
        return FIELD.matcher(lines)
                .results()
                .filter(field -> field.group(1).equalsIgnoreCase(name))
                .map(field -> field.group(2))
                .toArray(String[]::new);
    }
}
