import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A worker that registers in the store, and answers requests by a behaviour. */
final class Worker {
    /** Answers a request that has reached its instance; returns false if the connection is to be closed. */
    interface Behaviour {
        boolean answer(Worker worker, Message request, Socket socket, BufferedInputStream in) throws IOException;
    }

    private static final long HEARTBEAT_MS = 1_200;

    final String id;
    final String service;
    final Listener listener;
    /** How often each attempt was run. */
    final Map<String, Integer> runs = new ConcurrentHashMap<>();

    private final Store store;
    private final String zone;
    private final int slots;
    private final Record record;
    private long sequence;
    private volatile boolean registered = true;

    Worker(
            Store store,
            Record record,
            String ip,
            String id,
            String service,
            String zone,
            int slots,
            Behaviour behaviour)
            throws IOException {
        this.store = store;
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        listener = new Listener(ip, 0, (request, socket, in) -> serve(behaviour, request, socket, in));
        Thread thread = new Thread(this::beat, "heartbeat");
        thread.setDaemon(true);
        thread.start();
    }

    private void beat() {
        while (registered) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("service", service);
            entry.put("address", listener.address());
            entry.put("zone", zone);
            entry.put("version", "v1");
            entry.put("slots", slots);
            entry.put("state", "ready");
            entry.put("cold_remaining_ms", 0);
            entry.put("sequence", ++sequence);
            store.write("servers/" + id, Json.write(entry));
            try {
                Thread.sleep(HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean serve(Behaviour behaviour, Message request, Socket socket, BufferedInputStream in)
            throws IOException {
        String attempt = String.valueOf(request.header("X-Attempt-Id"));
        if (!id.equals(request.header("X-Expect-Instance"))) {
            record.line(id + " rejects " + attempt + " for " + request.header("X-Expect-Instance"));
            socket.getOutputStream()
                    .write(Message.format(
                            "HTTP/1.1 421 Misdirected Request", new byte[0], "X-Instance-Id", id, "X-Attempt-Id", attempt));
            return true;
        }
        return behaviour.answer(this, request, socket, in);
    }

    /** Counts and records a run. */
    void run(Message request) {
        String attempt = request.header("X-Attempt-Id");
        runs.merge(attempt, 1, Integer::sum);
        record.line(id + " runs " + attempt + " " + request.start);
    }

    String signature(String attempt) {
        return "sig." + id + "." + attempt;
    }

    /** Sends a whole answer with a length. */
    void respond(Socket socket, Message request, int status, byte[] body) throws IOException {
        String attempt = request.header("X-Attempt-Id");
        socket.getOutputStream()
                .write(Message.format(
                        "HTTP/1.1 " + status + " OK",
                        body,
                        "X-Attempt-Id",
                        attempt,
                        "X-Response-Signature",
                        signature(attempt)));
        record.line(id + " has answered " + attempt + " with " + status + ", " + body.length + " bytes");
    }

    /** Begins a stream of events in chunks. */
    void beginStream(Socket socket, Message request) throws IOException {
        String attempt = request.header("X-Attempt-Id");
        String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: "
                + signature(attempt)
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    }

    static void event(Socket socket, int number, String data) throws IOException {
        byte[] event = ("id: " + number + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.ISO_8859_1);
        OutputStream out = socket.getOutputStream();
        out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(event);
        out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void endStream(Socket socket) throws IOException {
        socket.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }
}
