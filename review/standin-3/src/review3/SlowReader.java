package review3;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that read slowly while their instance is stopped as planned. */
final class SlowReader implements CaseMain.Case {
    static final int INSTANCES = 2;
    private static final int BODY_BYTES = 400_000;
    private static final int PAUSE_S = 4;
    private static final int RECEIVE_BUFFER = 16_384;
    private static final int CALLERS = 4;

    @Override
    public boolean run(Fleet fleet, Record record, boolean trouble) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        String body = "0123456789".repeat(BODY_BYTES / 10);
        for (int i = 0; i < 2; i++) {
            String id = "i-7f3a91c" + i;
            fleet.workers.add(new Worker(id, "wuno96b", 6, fleet.store, (request, output) -> {
                runs.incrementAndGet();
                Worker.answer(output, 200, request, true, "", body);
                record.line("worker %s has run %s and handed over its answer of %d bytes", id, request.attempt(), BODY_BYTES);
            }));
        }
        fleet.configure(
                7, List.of(Fleet.route("r-print", "/puxa403/", "non_idempotent", "wuno96b", 8_000)), List.of("wuno96b"));
        fleet.start();
        Entry stopped = fleet.entries.get(0);
        AtomicInteger incomplete = new AtomicInteger();
        Thread[] callers = new Thread[CALLERS];
        for (int i = 0; i < CALLERS; i++) {
            String attempt = "9c41d07be2a3" + (1000 + i);
            callers[i] = new Thread(() -> {
                try {
                    call(fleet, record, stopped, attempt, incomplete);
                } catch (Exception e) {
                    record.line("client of %s: %s", attempt, e);
                }
            });
            callers[i].start();
        }
        Worker.pause(700);
        if (trouble) {
            record.line("SIGTERM to %s", stopped.name);
            stopped.signal("TERM");
            double sentS = record.seconds();
            if (stopped.awaitExit(9_000)) {
                record.line("%s ended %.1f s after SIGTERM, status %d", stopped.name, record.seconds() - sentS, stopped.exitStatus());
            } else {
                record.line("%s still runs 9 s after SIGTERM", stopped.name);
            }
        }
        for (Thread each : callers) {
            each.join();
        }
        record.line("%d requests ran, %d of %d answers did not arrive whole", runs.get(), incomplete.get(), CALLERS);
        return incomplete.get() > 0;
    }

    private static void call(Fleet fleet, Record record, Entry entry, String attempt, AtomicInteger incomplete)
            throws Exception {
        String request = Client.request("POST", "/puxa403/2f", Fleet.HOST, Fleet.headers(attempt, 8_000));
        Process client = new ProcessBuilder(
                        "perl",
                        "review/standin-3/slow-client.pl",
                        Integer.toString(entry.callerPort),
                        Integer.toString(PAUSE_S),
                        Integer.toString(RECEIVE_BUFFER))
                .start();
        double startS = record.seconds();
        record.line("client sends %s to %s and reads the body %d s after the head", attempt, entry.name, PAUSE_S);
        client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        client.getOutputStream().close();
        byte[] answer = client.getInputStream().readAllBytes();
        String end = new String(client.getErrorStream().readAllBytes(), StandardCharsets.US_ASCII).trim();
        client.waitFor();
        boolean whole = end.equals("received " + BODY_BYTES + " of " + BODY_BYTES + " bytes");
        String status = new String(answer, 0, Math.min(12, answer.length), StandardCharsets.US_ASCII);
        record.line("client of %s after %.1f s: %s, %s", attempt, record.seconds() - startS, status, end.replace("\n", ", "));
        if (!whole) {
            incomplete.incrementAndGet();
        }
    }
}
