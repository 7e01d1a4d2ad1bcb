package org.cranberrybend.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A caller with one persistent connection to an instance. It reads each response to its end without checking it. */
final class Caller implements AutoCloseable {
    /**
     * An HTTP response.
     *
     * @param status status code
     * @param headers header values by lower-case name
     * @param body body as far as it was received
     * @param complete whether the body was received to its end
     */
    record Response(int status, Map<String, String> headers, String body, boolean complete) {
        Response {
            headers = Map.copyOf(headers);
        }
    }

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int READ_TIMEOUT_MS = 9_000;

    private final int port;
    private Socket socket;

    Caller(int port) {
        this.port = port;
    }

    /** Returns whether the next request reuses a connection. */
    boolean isConnected() {
        return socket != null;
    }

    /**
     * Sends a request and reads the response.
     *
     * @throws IOException if the connection could not be opened, or ended before the end of the response header
     */
    Response call(String method, String path, Map<String, String> headers, String body) throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
        }
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: soak.example\r\n");
        headers.forEach(
                (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
        socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.US_ASCII));
        return readResponse(socket.getInputStream());
    }

    private Response readResponse(InputStream input) throws IOException {
        String statusLine = readLine(input);
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int status = Integer.parseInt(statusLine.split(" ")[1]);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        try {
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                readChunks(input, body);
            } else {
                readFully(input, body, Integer.parseInt(headers.getOrDefault("content-length", "0")));
            }
        } catch (IOException e) {
            complete = false;
        }
        if (!complete || "close".equalsIgnoreCase(headers.get("connection"))) {
            close();
        }
        return new Response(status, headers, body.toString(StandardCharsets.US_ASCII), complete);
    }

    private static void readChunks(InputStream input, ByteArrayOutputStream body) throws IOException {
        for (int length = Integer.parseInt(readLine(input).trim(), 16);
                length > 0;
                length = Integer.parseInt(readLine(input).trim(), 16)) {
            readFully(input, body, length);
            readLine(input);
        }
        readLine(input);
    }

    private static void readFully(InputStream input, ByteArrayOutputStream body, int length) throws IOException {
        for (int i = 0; i < length; i++) {
            int next = input.read();
            if (next < 0) {
                throw new EOFException("response body truncated after " + i + " of " + length + " bytes");
            }
            body.write(next);
        }
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("connection closed in the response header or a chunk header");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // The connection is already closed.
        }
        socket = null;
    }
}
