package org.cranberrybend.entry.testing;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** A caller that sends and receives raw bytes on one connection. */
public final class RawCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 10_000;

    private final Socket socket;

    /** Connects to a port on loopback. */
    public RawCaller(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_TIMEOUT_MS);
    }

    /** Sends text; each line feed is sent as CRLF. */
    public RawCaller send(String text) throws IOException {
        socket.getOutputStream()
                .write(text.replace("\r\n", "\n").replace("\n", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return this;
    }

    /** Reads until the given text was received or the connection was closed. */
    public String readUntil(String end) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        InputStream input = socket.getInputStream();
        while (!text.toString(StandardCharsets.ISO_8859_1).contains(end)) {
            int next = input.read();
            if (next < 0) {
                break;
            }
            text.write(next);
        }
        return text.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads until the connection was closed; a reset appends {@code (reset)}. */
    public String readAll() throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            socket.getInputStream().transferTo(text);
        } catch (SocketException e) {
            text.writeBytes("(reset)".getBytes(StandardCharsets.ISO_8859_1));
        }
        return text.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
