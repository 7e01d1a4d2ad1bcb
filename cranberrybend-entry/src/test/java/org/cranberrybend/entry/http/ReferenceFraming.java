package org.cranberrybend.entry.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Oracle of the fuzz test: splits the whole input into requests, strictly where framing is concerned. It reads up to
 * the first request that is malformed or incomplete.
 */
final class ReferenceFraming {
    /**
     * A request.
     *
     * @param id value of its first {@code X-Id} header without white space; HttpCore rewrites targets
     */
    record Message(String id, String body) {
        static Message of(String id, String body) {
            return new Message(id.replaceAll("\\s", ""), body);
        }
    }

    /** The input is malformed or incomplete from here on. */
    private static final class StopException extends Exception {
        private static final long serialVersionUID = 1;
    }

    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";

    private final String input;
    private int position;

    private ReferenceFraming(byte[] input) {
        this.input = new String(input, StandardCharsets.ISO_8859_1);
    }

    static List<Message> messages(byte[] input) {
        ReferenceFraming framing = new ReferenceFraming(input);
        List<Message> messages = new ArrayList<>();
        try {
            while (true) {
                messages.add(framing.next());
            }
        } catch (StopException e) {
            return messages;
        }
    }

    private static void require(boolean condition) throws StopException {
        if (!condition) {
            throw new StopException();
        }
    }

    private String line() throws StopException {
        int end = input.indexOf('\n', position);
        require(end >= 0);
        String line = input.substring(position, end > position && input.charAt(end - 1) == '\r' ? end - 1 : end);
        position = end + 1;
        return line;
    }

    private String bytes(long count) throws StopException {
        require(count <= input.length() - position);
        position += (int) count;
        return input.substring(position - (int) count, position);
    }

    private Message next() throws StopException {
        String requestLine = line();
        while (requestLine.isEmpty()) {
            requestLine = line();
        }
        String[] parts = requestLine.trim().split("[ \t]+");
        require(parts.length > 1);
        String id = "";
        Optional<String> length = Optional.empty();
        Optional<String> coding = Optional.empty();
        for (String[] field : fields()) {
            if (field[0].equals("content-length")) {
                require(length.isEmpty() && coding.isEmpty() && field[1].matches("[0-9]{1,18}"));
                length = Optional.of(field[1]);
            } else if (field[0].equals("transfer-encoding")) {
                require(length.isEmpty() && coding.isEmpty() && field[1].equalsIgnoreCase("chunked"));
                coding = Optional.of(field[1]);
            } else if (field[0].equals("x-id") && id.isEmpty()) {
                id = field[1];
            }
        }
        return Message.of(id, coding.isPresent() ? chunks() : bytes(Long.parseLong(length.orElse("0"))));
    }

    private List<String[]> fields() throws StopException {
        List<String[]> fields = new ArrayList<>();
        for (String line = line(); !line.isEmpty(); line = line()) {
            if ((line.startsWith(" ") || line.startsWith("\t")) && !fields.isEmpty()) {
                String[] field = fields.get(fields.size() - 1);
                field[1] = (field[1] + " " + line.trim()).trim();
                continue;
            }
            int colon = line.indexOf(':');
            require(colon > 0 && line.substring(0, colon).matches(TOKEN));
            fields.add(new String[] {
                line.substring(0, colon).toLowerCase(Locale.ROOT),
                line.substring(colon + 1).trim()
            });
        }
        return fields;
    }

    private String chunks() throws StopException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line().split(";", 2)[0].trim();
            require(size.matches("[0-9A-Fa-f]{1,15}"));
            String chunk = bytes(Long.parseLong(size, 16));
            body.writeBytes(chunk.getBytes(StandardCharsets.ISO_8859_1));
            if (chunk.isEmpty()) {
                while (!line().isEmpty()) {
                    // Trailers are not forwarded.
                }
                return body.toString(StandardCharsets.ISO_8859_1);
            }
            require(line().isEmpty());
        }
    }
}
