package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A caller with one connection to an instance. */
final class Client implements AutoCloseable {
    /** A response, as far as it was received. */
    record Response(int status, Map<String, String> headers, String body, boolean complete, String end) {
        @Override
        public String toString() {
            return status == 0 ? "no answer (" + end + ")" : status + (complete ? "" : " incomplete (" + end + ")");
        }
    }

    private final Socket socket = new Socket();
    private final InputStream input;

    Client(int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
        socket.setSoTimeout(15_000);
        input = new BufferedInputStream(socket.getInputStream());
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Returns the text of a request without a body. */
    static String request(String method, String target, String host, Map<String, String> headers) {
        StringBuilder text = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n");
        headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        if (method.equals("POST")) {
            text.append("Content-Length: 0\r\n");
        }
        return text.append("\r\n").toString();
    }

    /** Reads a response; one that ends early is returned as far as it came. */
    Response read() {
        int status = 0;
        Map<String, String> headers = new LinkedHashMap<>();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String statusLine = line(input);
            for (String line = line(input); !line.isEmpty(); line = line(input)) {
                int colon = line.indexOf(':');
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
            status = Integer.parseInt(statusLine.split(" ")[1]);
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                for (int length = Integer.parseInt(line(input), 16); length > 0; ) {
                    copy(input, body, length);
                    line(input);
                    length = Integer.parseInt(line(input), 16);
                }
                line(input);
            } else {
                copy(input, body, Integer.parseInt(headers.getOrDefault("content-length", "0")));
            }
            return new Response(status, headers, body.toString(StandardCharsets.ISO_8859_1), true, "");
        } catch (IOException e) {
            return new Response(status, headers, body.toString(StandardCharsets.ISO_8859_1), false, e.toString());
        }
    }

    private static void copy(InputStream input, ByteArrayOutputStream body, int length) throws IOException {
        for (int i = 0; i < length; i++) {
            int next = input.read();
            if (next < 0) {
                throw new EOFException("connection ended after " + i + " of " + length + " bytes");
            }
            body.write(next);
        }
    }

    private static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("connection ended in a head");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
