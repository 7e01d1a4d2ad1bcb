import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One HTTP/1.1 message as read from a socket. */
final class Message {
    String start = "";
    final List<String[]> headers = new ArrayList<>();
    byte[] body = new byte[0];
    /** Whether the body was received to its end. */
    boolean complete;

    String header(String name) {
        for (String[] each : headers) {
            if (each[0].equalsIgnoreCase(name)) {
                return each[1];
            }
        }
        return null;
    }

    String method() {
        return start.substring(0, start.indexOf(' '));
    }

    String target() {
        return start.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(start.split(" ")[1]);
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                out.write(c);
            }
            c = in.read();
        }
        return c < 0 ? null : out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head; null at the end of the input. */
    static Message head(InputStream in) throws IOException {
        Message message = new Message();
        message.start = line(in);
        if (message.start == null) {
            return null;
        }
        String line = line(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
            line = line(in);
        }
        return line == null ? null : message;
    }

    /** Reads a request with its body; null at the end of the input. */
    static Message request(InputStream in) throws IOException {
        Message message = head(in);
        if (message == null) {
            return null;
        }
        message.readBody(in);
        return message.complete ? message : null;
    }

    /** Reads the body of a message with a length or in chunks; it is incomplete if the input ends before. */
    void readBody(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(header("Transfer-Encoding"))) {
            while (true) {
                String size = line(in);
                if (size == null) {
                    break;
                }
                int count = Integer.parseInt(size.split(";")[0].trim(), 16);
                byte[] chunk = in.readNBytes(count);
                out.write(chunk);
                if (chunk.length < count || line(in) == null) {
                    break;
                }
                if (count == 0) {
                    complete = true;
                    break;
                }
            }
        } else {
            int length = header("Content-Length") == null ? 0 : Integer.parseInt(header("Content-Length"));
            byte[] read = in.readNBytes(length);
            out.write(read);
            complete = read.length == length;
        }
        body = out.toByteArray();
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Formats a message with a body of a stated length. */
    static byte[] format(String start, byte[] body, String... headers) {
        StringBuilder head = new StringBuilder(start).append("\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] first = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[first.length + body.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        return all;
    }
}
