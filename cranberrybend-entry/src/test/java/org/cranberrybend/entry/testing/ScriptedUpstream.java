package org.cranberrybend.entry.testing;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** An upstream on loopback that responds to each request with a script of the test. */
public final class ScriptedUpstream implements AutoCloseable {
    /**
     * A request as it was received.
     *
     * @param line request line
     * @param headers headers by lower-case name
     * @param body body as text
     */
    public record Received(String line, Map<String, String> headers, String body) {}

    /** Responds to one request on its connection. */
    public interface Script {
        /** Writes the response; the connection stays open unless the script closes it. */
        void respond(Received request, Socket connection) throws IOException;
    }

    private final ServerSocket listener;
    private final Script script;
    private final List<Received> received = new CopyOnWriteArrayList<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final BlockingQueue<String> closedConnections = new LinkedBlockingQueue<>();

    /** Starts an upstream with a script. */
    public ScriptedUpstream(Script script) throws IOException {
        this.script = script;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startThread(this::acceptAll);
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "scripted-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the port. */
    public int port() {
        return listener.getLocalPort();
    }

    /** Returns the requests received so far. */
    public List<Received> received() {
        return received;
    }

    /** Waits until a connection was closed; returns whether that happened in time. */
    public boolean awaitClosedConnection() throws InterruptedException {
        return closedConnections.poll(5, TimeUnit.SECONDS) != null;
    }

    private void acceptAll() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                connections.add(connection);
                startThread(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream input = new BufferedInputStream(connection.getInputStream());
            while (!connection.isClosed()) {
                Received request = read(input);
                if (request == null) {
                    break;
                }
                received.add(request);
                script.respond(request, connection);
            }
        } catch (IOException e) {
            // The connection was closed by the test or its peer.
        }
        closedConnections.add("closed");
    }

    private static Received read(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null || line.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = readLine(input); header != null && !header.isEmpty(); header = readLine(input)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Received(line, headers, new String(input.readNBytes(length), StandardCharsets.ISO_8859_1));
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next >= 0; next = input.read()) {
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            line.write(next);
        }
        return null;
    }

    /** Writes text to a connection. */
    public static void write(Socket connection, String text) throws IOException {
        OutputStream output = connection.getOutputStream();
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    /** Closes a connection with a reset. */
    public static void reset(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
    }

    /** Ends as a crashed process does: nothing listens any more, and all connections end. */
    public void crash() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    /** Returns whether {@link #crash()} or {@link #close()} was called. */
    public boolean isClosed() {
        return listener.isClosed();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
