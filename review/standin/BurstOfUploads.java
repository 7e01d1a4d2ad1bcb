import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Clients upload bodies in chunks, within the limits of the configuration, while others place orders on kept
 * connections. Then 2.4 times as many users upload.
 */
public final class BurstOfUploads {
    private static final int BASE_UPLOADS = 30;
    private static final double BURST = 2.4;
    private static final long BURST_MS = 9_000;
    private static final int ORDER_CLIENTS = 24;
    private static final long ORDER_WORK_MS = 600;
    private static final int CHUNK_BYTES = 10_600;
    private static final int CHUNKS = 100;
    /** Time that a client takes before its last chunk. */
    private static final long PAUSE_MS = 700;
    private static final String ROUTES = Fleet.route("plan", "/plan/", "safe", 5_000, 2, "plans", 2) + ","
            + Fleet.route("order", "/order/", "non_idempotent", 2_500, 2, "desk", 1);
    private static final String SERVICES = "{\"name\":\"plans\",\"health_check_path\":\"/health\",\"max_connections\":620},"
            + "{\"name\":\"desk\",\"health_check_path\":\"/health\",\"max_connections\":110}";
    private static final String TENANT = "{\"name\":\"club\",\"api_keys\":[\"key-1\"]}";

    private record Sent(Client.Answer answer, boolean kept) {}

    private BurstOfUploads() {}

    public static void main(String[] arguments) {
        Fleet.run(arguments, BurstOfUploads::play);
    }

    /** Places orders one after the other on a connection that is kept as long as the answers allow. */
    private static void order(Fleet fleet, int port, Queue<Sent> orders) {
        while (true) {
            try (Socket socket = Client.connect(port, 4_000)) {
                boolean open = true;
                for (int count = 0; open; count++) {
                    Client.Answer answer = Client.sendOn(
                            socket,
                            fleet.record,
                            port,
                            "POST",
                            "/order/print",
                            Map.of("Host", "review.example", "X-Deadline-Ms", "2500", "Authorization", "Bearer key-1"),
                            "order".getBytes(StandardCharsets.UTF_8));
                    orders.add(new Sent(answer, count > 0));
                    open = answer.status() != 0 && !"close".equals(answer.headers().get("connection"));
                }
            } catch (IOException e) {
                Threads.sleepMs(500);
            }
        }
    }

    /** Uploads plans of about 1 MB, each on a new connection, until the given time. */
    private static void upload(Fleet fleet, int port, long untilMs, Queue<Client.Answer> uploads) {
        while (fleet.record.nowMs() < untilMs) {
            String attempt = Client.newAttemptId();
            long sentMs = fleet.record.nowMs();
            Map<String, String> headers = new HashMap<>();
            int status = 0;
            try (Socket socket = Client.connect(port, 6_000)) {
                OutputStream out = socket.getOutputStream();
                write(out, "POST /plan/1 HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: " + attempt
                        + "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n");
                byte[] chunk = framed(CHUNK_BYTES);
                for (int i = 0; i < CHUNKS; i++) {
                    if (i == CHUNKS - 1) {
                        Threads.sleepMs(PAUSE_MS);
                    }
                    out.write(chunk);
                }
                write(out, "0\r\n\r\n");
                status = Client.readHead(new BufferedInputStream(socket.getInputStream()), headers);
            } catch (IOException | RuntimeException e) {
                headers.put("failure", e.toString());
                Threads.sleepMs(300);
            }
            uploads.add(new Client.Answer(
                    attempt, port, "/plan/1", status, headers, new byte[0], sentMs, fleet.record.nowMs()));
        }
    }

    /** Returns one chunk with its size before it and the end of the line after it. */
    private static byte[] framed(int bytes) {
        return (Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static int play(Record record, Fleet fleet) throws Exception {
        fleet.configure(7, ROUTES, SERVICES, TENANT);
        fleet.addWorker("p-1", "plans", 50);
        fleet.addWorker("p-2", "plans", 50);
        fleet.addWorker("d-1", "desk", ORDER_WORK_MS);
        if (!fleet.startInstances(2, fleet.store.address().getPort())) {
            return 2;
        }
        Threads.sleepMs(3_000);
        Queue<Sent> orders = new ConcurrentLinkedQueue<>();
        Queue<Client.Answer> uploads = new ConcurrentLinkedQueue<>();
        for (Instance each : fleet.instances) {
            for (int i = 0; i < ORDER_CLIENTS; i++) {
                Threads.daemon(() -> order(fleet, each.callersPort, orders));
            }
            for (int i = 0; i < BASE_UPLOADS; i++) {
                Threads.daemon(() -> upload(fleet, each.callersPort, Long.MAX_VALUE, uploads));
            }
        }
        Threads.sleepMs(12_000);
        if (Fleet.trouble()) {
            record.line("%.1f times as many users upload, for %d ms", BURST, BURST_MS);
            long untilMs = record.nowMs() + BURST_MS;
            for (Instance each : fleet.instances) {
                for (int i = 0; i < BASE_UPLOADS * (BURST - 1); i++) {
                    Threads.daemon(() -> upload(fleet, each.callersPort, untilMs, uploads));
                }
            }
        }
        Threads.sleepMs(BURST_MS + 3_000);
        return judge(record, fleet, List.copyOf(orders), List.copyOf(uploads));
    }

    private static int judge(Record record, Fleet fleet, List<Sent> orders, List<Client.Answer> uploads) {
        List<Client.Answer> all = new ArrayList<>(uploads);
        orders.forEach(each -> all.add(each.answer()));
        fleet.recordRequests(all);
        for (Instance each : fleet.instances) {
            record.line(
                    "instance %s %s",
                    each.name,
                    each.process().isAlive() ? "runs" : "has ended by itself with status " + each.process().exitValue());
        }
        Set<String> ran = new HashSet<>();
        fleet.workers.forEach(worker -> worker.runs().forEach(run -> ran.add(run.attemptId())));
        Map<Integer, Integer> lost = new ConcurrentHashMap<>();
        for (Sent each : orders) {
            Client.Answer answer = each.answer();
            if (each.kept() && answer.status() == 0 && ran.contains(answer.attemptId())) {
                lost.merge(answer.port(), 1, Integer::sum);
                record.line(
                        "LOST: order %s from a kept connection was run, and its connection ended without an answer at"
                                + " %.3f",
                        answer.attemptId(), answer.endMs() / 1e3);
            }
        }
        int broken = lost.values().stream().mapToInt(Integer::intValue).sum();
        long served = orders.stream().filter(each -> each.answer().status() == 200).count();
        long uploaded = uploads.stream().filter(each -> each.status() == 200).count();
        long refused = uploads.stream().filter(each -> each.status() == 503).count();
        record.line(
                "%d orders, %d answered 200; %d uploads, %d answered 200, %d refused with 503",
                orders.size(), served, uploads.size(), uploaded, refused);
        record.line("%s%d orders lost, three are allowed", broken > 3 ? "BROKEN LOST: " : "", broken);
        return served == 0 || uploaded == 0 ? 2 : broken > 3 ? 1 : 0;
    }
}
