package review3;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrybend.entry.json.Json;

/**
 * A worker of a service. It writes its entry every heartbeat interval while it reaches the store; the store removes the
 * entry after three intervals of silence, as the platform's page says.
 */
final class Worker implements AutoCloseable {
    static final long HEARTBEAT_MS = 1_200;
    static final long EXPIRY_MS = 3 * HEARTBEAT_MS;

    /** A request as it arrived. */
    record Request(String method, String target, Map<String, String> headers, int bodyBytes) {
        String attempt() {
            return headers.getOrDefault("x-attempt-id", "");
        }
    }

    /** Answers a request; an exception ends the connection. */
    interface Handler {
        void handle(Request request, OutputStream output) throws Exception;
    }

    final String id;
    private final String service;
    private final int slots;
    private final Store store;
    private final ServerSocket listener;
    private final long born = System.currentTimeMillis();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Thread beats;
    private volatile Handler handler;
    private volatile boolean reachesStore = true;
    private volatile boolean draining;
    private volatile boolean closed;
    private volatile boolean listed;
    private volatile long lastBeatMs;
    private long sequence;

    Worker(String id, String service, int slots, Store store, Handler handler) throws IOException {
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.store = store;
        this.handler = handler;
        this.listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        daemon(this::accept);
        beat();
        beats = daemon(this::beatOn);
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    void setHandler(Handler next) {
        handler = next;
    }

    /** Cuts the worker off from the store, or heals the cut; its connections to instances are not touched. */
    void setReachesStore(boolean reaches) {
        reachesStore = reaches;
    }

    void setDraining(boolean next) {
        draining = next;
        beat();
    }

    boolean isListed() {
        return listed;
    }

    private String key() {
        return "servers/" + id;
    }

    /** Returns the time until the store removes the entry of a worker that is cut off from it. */
    long expiresInMs() {
        return lastBeatMs + EXPIRY_MS - now();
    }

    private synchronized void beat() {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", "127.0.0.1:" + listener.getLocalPort());
        entry.put("zone", Entry.ZONE);
        entry.put("version", "v1");
        entry.put("slots", slots);
        entry.put("state", draining ? "draining" : "ready");
        entry.put("cold_remaining_ms", 0);
        entry.put("born", born);
        entry.put("sequence", ++sequence);
        lastBeatMs = now();
        store.put(key(), Json.write(entry));
        listed = true;
    }

    private void beatOn() {
        while (!closed) {
            pause(20);
            if (reachesStore && now() - lastBeatMs >= HEARTBEAT_MS) {
                beat();
            } else if (listed && now() - lastBeatMs >= EXPIRY_MS) {
                store.delete(key());
                listed = false;
            }
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            while (true) {
                handler.handle(readRequest(input), output);
                output.flush();
            }
        } catch (Exception e) {
            // The connection has ended, or the handler ends it.
        } finally {
            open.remove(socket);
        }
    }

    private static Request readRequest(InputStream input) throws IOException {
        String[] start = line(input).split(" ");
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(input); !line.isEmpty(); line = line(input)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        input.readNBytes(length);
        return new Request(start[0], start[1], headers, length);
    }

    private static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    /** Writes a response with a length and the headers that a worker sets. */
    static void answer(OutputStream output, int status, Request request, boolean signed, String more, String body)
            throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + request.attempt() + "\r\n"
                + (signed ? "X-Response-Signature: sig." + request.attempt() + "\r\n" : "")
                + more + "Content-Length: " + body.length() + "\r\n\r\n";
        output.write((head + body).getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    @Override
    public void close() throws Exception {
        closed = true;
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
        beats.join(1_000);
    }
}
