package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Many usage windows pass while callers of many accounts send requests. */
final class UsageMemory implements CaseMain.Case {
    static final int INSTANCES = 12;
    private static final int ACCOUNTS = 1_800;
    private static final int BULK_CLIENTS = 9;
    /** Pause of a client between two requests, so that an instance counts each account once in a window. */
    private static final long PAUSE_MS = 5;

    private static final int CALLERS = 16;
    private static final long WORK_MS = 2_000;
    private static final double END_S = 98;

    private final AtomicLong bulk = new AtomicLong();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean over;

    private static String account(int number) {
        return String.format(Locale.ROOT, "account-%05d" + "-of-a-box-office-of-a-county-club".repeat(14), number);
    }

    @Override
    public boolean run(Fleet fleet, Record record, boolean trouble) throws Exception {
        for (int i = 0; i < 6; i++) {
            fleet.workers.add(new Worker("i-7f3a91c" + i, "wuno96b", 64, fleet.store, (request, output) ->
                    Worker.answer(output, 200, request, true, "", "ok")));
        }
        for (int i = 0; i < 3; i++) {
            fleet.workers.add(new Worker("i-02d9e6b" + i, "huvo11c", 64, fleet.store, (request, output) -> {
                ran.add(request.attempt());
                Worker.pause(WORK_MS);
                Worker.answer(output, 200, request, true, "", "ok");
            }));
        }
        List<Map<String, Object>> accounts = new ArrayList<>();
        accounts.add(Map.of("name", "hule930", "api_keys", List.of(Fleet.KEY)));
        for (int i = 0; i < ACCOUNTS; i++) {
            accounts.add(Map.of("name", account(i), "api_keys", List.of("k" + i)));
        }
        fleet.configure(
                7,
                List.of(
                        Fleet.route("r-look", "/cufi504/", "safe", "wuno96b", 2_000),
                        Fleet.route("r-hold", "/puxa403/", "non_idempotent", "huvo11c", 4_000)),
                List.of("wuno96b", "huvo11c"),
                accounts);
        for (Entry each : fleet.entries) {
            each.setUsageWindow(trouble ? 5 : 60);
        }
        fleet.start();
        for (int i = 0; i < fleet.entries.size(); i++) {
            Entry entry = fleet.entries.get(i);
            for (int j = 0; j < BULK_CLIENTS; j++) {
                int first = (i * BULK_CLIENTS + j) * 997;
                daemon(() -> loadOn(entry, first));
            }
            for (int j = 0; j < CALLERS; j++) {
                int caller = i * CALLERS + j;
                daemon(() -> callOn(entry, record, caller));
            }
        }
        long before = 0;
        boolean ended = false;
        while (record.seconds() < END_S && !ended) {
            Worker.pause(5_000);
            StringBuilder memory = new StringBuilder();
            for (Entry each : fleet.entries) {
                if (!each.isRunning()) {
                    ended = true;
                    record.line("%s has ended by itself, status %d", each.name, each.exitStatus());
                } else {
                    memory.append(' ').append(residentMb(each));
                }
            }
            long now = bulk.get();
            record.line(
                    "%d requests/s, %d windows reported by %s; resident MB:%s",
                    (now - before) / 5, fleet.store.reports(), fleet.store.dutyHolder(), memory);
            before = now;
        }
        Worker.pause(ended ? 500 : 0);
        over = true;
        record.line("%d requests of kept connections were at sound workers and got no answer", lost.get());
        return lost.get() > 3;
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private static long residentMb(Entry entry) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + entry.pid() + "/status"))) {
            if (line.startsWith("VmRSS")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
            }
        }
        return 0;
    }

    private void loadOn(Entry entry, int first) {
        int number = first;
        while (!over) {
            try (Client client = new Client(entry.callerPort)) {
                for (Client.Response response = null; !over && (response == null || response.complete()); ) {
                    Map<String, String> headers = new LinkedHashMap<>();
                    headers.put("X-Attempt-Id", String.format("%x-%x", first, number));
                    headers.put("X-Deadline-Ms", "2000");
                    headers.put("Authorization", "Bearer k" + number++ % ACCOUNTS);
                    client.send(Client.request("GET", "/cufi504/2f", Fleet.HOST, headers));
                    response = client.read();
                    bulk.incrementAndGet();
                    Worker.pause(PAUSE_MS);
                }
            } catch (IOException e) {
                Worker.pause(200);
            }
        }
    }

    private void callOn(Entry entry, Record record, int caller) {
        int number = 0;
        while (!over) {
            try (Client client = new Client(entry.callerPort)) {
                while (!over) {
                    String attempt = String.format("c%03d-%05d", caller, number++);
                    client.send(Client.request("POST", "/puxa403/2f", Fleet.HOST, Fleet.headers(attempt, 4_000)));
                    Client.Response response = client.read();
                    if (response.status() == 0) {
                        boolean passedOn = ran.contains(attempt);
                        if (!over) {
                            record.line(
                                    "client of %s at %s: %s%s",
                                    attempt, entry.name, response, passedOn ? ", a sound worker ran it" : "");
                            lost.addAndGet(passedOn ? 1 : 0);
                        }
                        break;
                    }
                    ran.remove(attempt);
                }
            } catch (IOException e) {
                Worker.pause(500);
            }
        }
    }
}
