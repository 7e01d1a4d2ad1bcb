import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A client that sends each request on a new connection and reads the whole answer. */
final class Client {
    private static final AtomicLong LAST_ID = new AtomicLong(System.nanoTime() & 0xffffffL);

    /** The answer to a request; status 0 if the connection ended without a whole answer. */
    record Answer(
            String attemptId,
            int port,
            String path,
            int status,
            Map<String, String> headers,
            byte[] body,
            long sentMs,
            long endMs) {}

    private Client() {}

    static String newAttemptId() {
        return String.format(Locale.ROOT, "%016x", LAST_ID.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    /** Sends one request on a new connection. */
    static Answer send(
            Record record, int port, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs) {
        try (Socket socket = connect(port, timeoutMs)) {
            return sendOn(socket, record, port, method, path, headers, body);
        } catch (IOException e) {
            return new Answer(
                    newAttemptId(),
                    port,
                    path,
                    0,
                    Map.of("failure", e.toString()),
                    new byte[0],
                    record.nowMs(),
                    record.nowMs());
        }
    }

    static Socket connect(int port, int timeoutMs) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setSoTimeout(timeoutMs);
        return socket;
    }

    /** Sends one request on an open connection, which can be kept if the answer does not say close. */
    static Answer sendOn(
            Socket socket, Record record, int port, String method, String path, Map<String, String> headers, byte[] body) {
        String attempt = newAttemptId();
        long sentMs = record.nowMs();
        Map<String, String> received = new LinkedHashMap<>();
        int status = 0;
        byte[] content = new byte[0];
        try {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            head.append("X-Attempt-Id: ").append(attempt).append("\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int code = readHead(in, received);
            content = "chunked".equalsIgnoreCase(received.get("transfer-encoding"))
                    ? chunks(in)
                    : bytes(in, Integer.parseInt(received.getOrDefault("content-length", "0")));
            status = code;
        } catch (IOException | RuntimeException e) {
            received.put("failure", e.toString());
        }
        return new Answer(attempt, port, path, status, received, content, sentMs, record.nowMs());
    }

    /** Reads the head of an answer; returns its status. */
    static int readHead(InputStream in, Map<String, String> received) throws IOException {
        int code = Integer.parseInt(line(in).split(" ")[1]);
        String each = line(in);
        while (!each.isEmpty()) {
            int colon = each.indexOf(':');
            received.put(each.substring(0, colon).toLowerCase(Locale.ROOT), each.substring(colon + 1).trim());
            each = line(in);
        }
        return code;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("connection ended");
            }
            text.write(next);
            next = in.read();
        }
        return text.toString(StandardCharsets.ISO_8859_1).trim();
    }

    private static byte[] bytes(InputStream in, int count) throws IOException {
        byte[] content = in.readNBytes(count);
        if (content.length < count) {
            throw new EOFException("answer is cut");
        }
        return content;
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        int size = Integer.parseInt(line(in), 16);
        while (size > 0) {
            content.write(bytes(in, size));
            line(in);
            size = Integer.parseInt(line(in), 16);
        }
        line(in);
        return content.toByteArray();
    }
}
