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

/** A caller with one kept connection to one instance. It reads each answer to its end and judges nothing. */
final class Caller implements AutoCloseable {
    /**
     * An answer.
     *
     * @param status status
     * @param headers headers by lower-case name
     * @param body body as far as it came
     * @param whole whether the answer ended as it should
     */
    record Answer(int status, Map<String, String> headers, String body, boolean whole) {
        Answer {
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

    /** Returns whether the next request goes on a connection that has carried one before. */
    boolean isConnected() {
        return socket != null;
    }

    /**
     * Sends a request and reads the answer.
     *
     * @throws IOException if the connection ended before the head of an answer
     */
    Answer call(String method, String path, Map<String, String> headers, String body) throws IOException {
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
        return read(socket.getInputStream());
    }

    private Answer read(InputStream input) throws IOException {
        String statusLine = line(input);
        Map<String, String> headers = new HashMap<>();
        for (String line = line(input); !line.isEmpty(); line = line(input)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int status = Integer.parseInt(statusLine.split(" ")[1]);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = true;
        try {
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                readChunks(input, body);
            } else {
                readFully(input, body, Integer.parseInt(headers.getOrDefault("content-length", "0")));
            }
        } catch (IOException e) {
            whole = false;
        }
        if (!whole || "close".equalsIgnoreCase(headers.get("connection"))) {
            close();
        }
        return new Answer(status, headers, body.toString(StandardCharsets.US_ASCII), whole);
    }

    private static void readChunks(InputStream input, ByteArrayOutputStream body) throws IOException {
        for (int length = Integer.parseInt(line(input).trim(), 16);
                length > 0;
                length = Integer.parseInt(line(input).trim(), 16)) {
            readFully(input, body, length);
            line(input);
        }
        line(input);
    }

    private static void readFully(InputStream input, ByteArrayOutputStream body, int length) throws IOException {
        for (int i = 0; i < length; i++) {
            int next = input.read();
            if (next < 0) {
                throw new EOFException("the answer ends after " + i + " of " + length + " bytes");
            }
            body.write(next);
        }
    }

    private static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
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
            // The connection has ended already.
        }
        socket = null;
    }
}
