package review3;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of five workers is cut off from the store until its entry is removed, and comes back while requests run there. Then
 * it is reclaimed while the store is down, and says in its answers that it leaves.
 */
final class RelistedWorker implements CaseMain.Case {
    static final int INSTANCES = 2;
    private static final int WORKERS = 5;
    private static final int SLOTS = 6;
    private static final double DRAIN_S = 2.5;
    /** Time from the notice of the reclaim until the worker is gone. */
    private static final long GONE_AFTER_MS = 2_800;

    private static final long WORK_MS = 400;
    private static final int FIRST = 1000;
    private static final int SECOND = 2000;

    private final CountDownLatch notice = new CountDownLatch(1);
    /** When a client had an answer with which the worker stated that it leaves; 0 before. */
    private volatile double passedOnS;

    private volatile boolean leaving;
    private final Map<String, Double> sentS = new ConcurrentHashMap<>();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    @Override
    public boolean run(Fleet fleet, Record record, boolean trouble) throws Exception {
        Worker leaver = null;
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = worker(fleet, record, "i-7f3a91c" + i, i == 2);
            leaver = i == 2 ? worker : leaver;
        }
        fleet.configure(
                7, List.of(Fleet.route("r-hold", "/puxa403/", "non_idempotent", "wuno96b", 4_000)), List.of("wuno96b"));
        fleet.start();
        Worker.pause(5_000);
        Entry entry = fleet.entries.get(0);
        if (trouble) {
            record.line("%s is cut off from the store, not from the instances", leaver.id);
            leaver.setReachesStore(false);
            Worker.pause(Math.max(0, leaver.expiresInMs() - 600));
        }
        List<Thread> first = send(fleet, record, entry, 2 * WORKERS, FIRST);
        while (trouble && leaver.isListed()) {
            Worker.pause(10);
        }
        if (trouble) {
            record.line("the store has removed the entry of %s after %d ms of silence", leaver.id, Worker.EXPIRY_MS);
        }
        Worker.pause(200);
        leaver.setReachesStore(true);
        Worker.pause(1_000);
        record.line("the entry of %s is %s", leaver.id, leaver.isListed() ? "listed" : "missing");
        if (trouble) {
            record.line("the store is down (answers 503 to each call)");
            fleet.store.setBusy(true);
            leaver.setReachesStore(false);
        } else {
            leaver.setDraining(true);
            record.line("%s has reported that it drains", leaver.id);
        }
        record.line("%s is to be reclaimed in %d ms and says so in its answers", leaver.id, GONE_AFTER_MS);
        long noticeMs = System.currentTimeMillis();
        leaving = true;
        notice.countDown();
        for (Thread each : first) {
            each.join();
        }
        if (passedOnS == 0) {
            throw new IllegalStateException("no request ran at the worker that leaves");
        }
        while (record.seconds() < passedOnS + DRAIN_S + 0.05) {
            Worker.pause(5);
        }
        List<Thread> second = send(fleet, record, entry, 4 * WORKERS, SECOND);
        Worker.pause(Math.max(0, noticeMs + GONE_AFTER_MS - System.currentTimeMillis()));
        record.line("%s is gone", leaver.id);
        leaver.close();
        for (Thread each : second) {
            each.join();
        }
        fleet.store.setBusy(false);
        record.line(
                "%d requests reached %s that were sent over %.1f s after %s had passed on that it leaves; %d requests were lost",
                late.get(), leaver.id, DRAIN_S, entry.name, lost.get());
        return late.get() > 0;
    }

    private Worker worker(Fleet fleet, Record record, String id, boolean leaves) throws IOException {
        Worker worker = new Worker(id, "wuno96b", SLOTS, fleet.store, (request, output) -> {
            boolean first = !sentS.containsKey(request.attempt());
            record.line("worker %s runs %s", id, request.attempt());
            if (!first && leaves) {
                double afterS = sentS.get(request.attempt()) - passedOnS;
                late.addAndGet(afterS > DRAIN_S ? 1 : 0);
                record.line("  it was sent %.3f s after the client had the statement", afterS);
            }
            if (first) {
                notice.await();
            } else {
                Worker.pause(WORK_MS);
            }
            boolean states = leaves && leaving;
            Worker.answer(
                    output, 200, request, true, states ? "Server-Leaving: 1\r\n" : "", "body of " + request.attempt() + " from " + id);
            record.line("worker %s has answered %s%s", id, request.attempt(), states ? " with Server-Leaving: 1" : "");
        });
        fleet.workers.add(worker);
        return worker;
    }

    private List<Thread> send(Fleet fleet, Record record, Entry entry, int count, int number) throws Exception {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String attempt = "9c41d07be2a3" + (number + i);
            Thread thread = new Thread(() -> {
                try (Client client = new Client(entry.callerPort)) {
                    if (number == SECOND) {
                        sentS.put(attempt, record.seconds());
                    }
                    record.line("client sends %s to %s", attempt, entry.name);
                    client.send(Client.request("POST", "/puxa403/2f", Fleet.HOST, Fleet.headers(attempt, 4_000)));
                    Client.Response response = client.read();
                    record.line("client of %s: answer %s", attempt, response);
                    if (number == FIRST && response.body().endsWith("from i-7f3a91c2") && passedOnS == 0) {
                        passedOnS = record.seconds();
                    }
                    if (number == SECOND && response.status() != 200) {
                        lost.incrementAndGet();
                    }
                } catch (IOException e) {
                    record.line("client of %s: %s", attempt, e);
                }
            });
            threads.add(thread);
            thread.start();
        }
        return threads;
    }
}
